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
  /// Absent if the store failed, if its manifest is absent or malformed, or if
  /// the generation is not among the head's publishes.
  std::optional<Manifest> manifest;
  ManifestHead head;
  /// Reason why `manifest` is absent.
  std::string detail;
};

/// Reads complete manifests from the store.
class ManifestReader {
 public:
  /// Reads the given generation, or the current one if `generation` is absent.
  static void Read(ConfigStore& store,
                   std::optional<std::uint64_t> generation,
                   std::function<void(ManifestReadOutcome)> done);
};

}  // namespace bramleyspoke
