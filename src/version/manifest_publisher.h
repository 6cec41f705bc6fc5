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
  /// The manifest is in the store; all daemons use it within seconds.
  kAccepted,
  /// The current generation is not the expected one, or another publish was
  /// accepted first; this one has no effect.
  kConflict,
  /// The publish failed; the current manifest was not changed.
  kNotPublished,
  /// The publish may have been accepted, but the store became unavailable
  /// before it responded. Once the store responds again, the publish was
  /// accepted if the head's list of publishes contains its id.
  kUnknown,
};

std::string_view ToString(PublishResult result);

struct PublishOptions {
  /// Unique to this publish; a second call with the same id does not publish
  /// again.
  std::string publish_id;
  /// Generation that must be current for the manifest to replace it; any if
  /// absent.
  std::optional<std::uint64_t> expected_generation;
};

struct PublishOutcome {
  PublishResult result = PublishResult::kNotPublished;
  /// The accepted generation; after a conflict, the intended one.
  std::uint64_t generation = 0;
  /// After a conflict, the generation in the store; 0 if the head could not be
  /// read.
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
