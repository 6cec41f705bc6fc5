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
  /// In the store; in force on all daemons within seconds.
  kAccepted,
  /// Another publish came first: nothing of this one is in force.
  kConflict,
  /// Nothing was changed.
  kNotPublished,
  /// The store went away: it may be accepted. The head's list of publishes
  /// tells by the publish id, once the store answers.
  kUnknown,
};

std::string_view ToString(PublishResult result);

struct PublishOptions {
  /// Unique to this publish; a repeated call with it doesn't publish twice.
  std::string publish_id;
  /// Generation that the manifest replaces; any when absent.
  std::optional<std::uint64_t> expected_generation;
};

struct PublishOutcome {
  PublishResult result = PublishResult::kNotPublished;
  /// The accepted generation; at a conflict the one that we meant to make.
  std::uint64_t generation = 0;
  /// At a conflict, the generation that the store has.
  std::uint64_t current_generation = 0;
  /// Reason, and for `kUnknown` how to find out.
  std::string detail;
};

/// Writes manifests to the store: parts first, then the head in one swap.
class ManifestPublisher {
 public:
  /// `store` must outlive the call; `done` is called exactly once.
  static void Publish(ConfigStore& store,
                      const Manifest& manifest,
                      PublishOptions options,
                      std::function<void(PublishOutcome)> done);
};

}  // namespace bramleyspoke
