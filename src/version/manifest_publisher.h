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

enum class PublishResult {
  /// The manifest is in the store, and in force on all daemons within seconds.
  kAccepted,
  /// Another publish was accepted first; this one has no effect.
  kConflict,
  /// The manifest in force was not changed.
  kNotPublished,
  /// The store became unavailable, and the publish may have been accepted. Once
  /// the store responds, the head's list of publishes shows it by its id.
  kUnknown,
};

std::string_view ToString(PublishResult result);

struct PublishOptions {
  /// Unique to this publish; a second call with the same id does not publish
  /// again.
  std::string publish_id;
  /// Generation that the manifest replaces; any if absent.
  std::optional<std::uint64_t> expected_generation;
};

struct PublishOutcome {
  PublishResult result = PublishResult::kNotPublished;
  /// The accepted generation; after a conflict, the intended one.
  std::uint64_t generation = 0;
  /// After a conflict, the generation in the store.
  std::uint64_t current_generation = 0;
  /// Reason; for `kUnknown` also how to determine the result.
  std::string detail;
};

/// Writes manifests to the store: the parts first, then the head by one
/// compare-and-swap.
class ManifestPublisher {
 public:
  /// `store` must outlive the call; `done` is called exactly once.
  static void Publish(ConfigStore& store,
                      const Manifest& manifest,
                      PublishOptions options,
                      std::function<void(PublishOutcome)> done);
};

}  // namespace bramleyspoke
