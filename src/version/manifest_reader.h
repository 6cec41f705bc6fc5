#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "connection/config_store.h"
#include "version/manifest.h"
#include "version/manifest_parts.h"

namespace bramleyspoke {

struct ManifestReadOutcome {
  StoreOutcome outcome = StoreOutcome::kUnavailable;
  /// Absent when the store failed, has none, or the generation is too old.
  std::optional<Manifest> manifest;
  ManifestHead head;
  std::string detail;
};

/// Reads whole manifests from the store.
class ManifestReader {
 public:
  /// Fetches the given generation, or the current one.
  static void Read(ConfigStore& store,
                   std::optional<std::uint64_t> generation,
                   std::function<void(ManifestReadOutcome)> done);
};

}  // namespace bramleyspoke
