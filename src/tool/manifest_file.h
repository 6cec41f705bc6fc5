#pragma once

#include <optional>
#include <string>

#include "version/manifest.h"

namespace bramleyspoke {

struct CommandOutput;

/// Reads and validates the manifest in `file`, or on standard input for "-".
/// If the file is unreadable or the manifest invalid, prints the problems and
/// returns `std::nullopt`.
std::optional<Manifest> ReadManifestFile(const std::string& file,
                                         CommandOutput& output);

/// Number of objects in a manifest.
struct ManifestSize {
  std::size_t services = 0;
  /// Sum over all layouts.
  std::size_t shards = 0;
  /// Distinct addresses.
  std::size_t leafs = 0;
};

ManifestSize SizeOf(const Manifest& manifest);
/// Text such as "4 services, 52 shards, 106 leafs".
std::string ToString(const ManifestSize& size);

}  // namespace bramleyspoke
