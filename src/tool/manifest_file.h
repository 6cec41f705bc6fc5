#pragma once

#include <optional>
#include <string>

#include "version/manifest.h"

namespace bramleyspoke {

struct CommandOutput;

/// Reads and checks the manifest in `file`, or on standard input for "-".
/// Prints what is wrong with it; nothing is returned then.
std::optional<Manifest> ReadManifestFile(const std::string& file,
                                         CommandOutput& output);

/// How much a manifest holds.
struct ManifestSize {
  std::size_t services = 0;
  std::size_t shards = 0;
  std::size_t leafs = 0;
};

ManifestSize SizeOf(const Manifest& manifest);
/// "4 services, 52 shards, 106 leafs".
std::string ToString(const ManifestSize& size);

}  // namespace bramleyspoke
