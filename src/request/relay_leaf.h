#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "request/leaf_load.h"
#include "request/leaf_pause.h"
#include "request/leaf_rate_limit.h"
#include "version/leaf_registration.h"

namespace bramleyspoke {

/// One run of a registered leaf, and its load as seen by this daemon.
struct RelayLeaf {
  /// How long a draining leaf still gets attempts if no other leaf is ready.
  static constexpr Duration kDrainGracePeriod = std::chrono::milliseconds(1000);

  LeafRegistration registration;
  LeafLoad load;
  /// Whether the leaf is in this daemon's region.
  bool is_near = false;
  /// Whether the leaf is no longer registered, or a later run has replaced it.
  bool is_gone = false;
  /// Whether a later run is registered under the leaf's id.
  bool is_restarted = false;
  std::optional<TimePoint> draining_since = {};
  /// When the leaf last said that it is leaving, whatever its entry says.
  std::optional<TimePoint> leaving_said_at = {};
  /// When this daemon first knew this run.
  TimePoint first_seen = {};
  /// When this daemon last sent the leaf an attempt, and how many it had sent
  /// to the leaf's service then.
  TimePoint last_sent_at = {};
  std::uint64_t sends_of_service = 0;
  LeafRateLimit rate_limit = {};
  LeafPause pause = {};
  /// Maximum number of attempts that this daemon has in flight at the leaf.
  std::uint32_t share = 1;
  /// Replaces `share` until `reduced_until`, after the leaf closed a new
  /// connection.
  std::uint32_t reduced_share = 1;
  TimePoint reduced_until = {};

  std::uint32_t AttemptLimit(TimePoint now) const {
    return pause.AttemptLimit(now < reduced_until ? reduced_share : share);
  }
  void OnConnectionRefused(TimePoint now);
  /// Returns whether this is news.
  bool OnLeaving(TimePoint now);
  /// Takes over what the leaf announced to this daemon from `since` on, while
  /// its entry was `earlier`.
  void TakeAnnouncements(const RelayLeaf& earlier, TimePoint since);
};

/// Whether a leaf can be sent attempts, and if not, why. The first three can,
/// in order of preference: an attempt at a draining or ejected leaf is better
/// than none.
enum class LeafState {
  kReady,
  kDraining,
  /// The leaf is temporarily excluded after failures or after it shed load.
  kEjected,
  /// This daemon's share of the leaf is in use.
  kFull,
  /// This daemon's part of the request rate that the leaf accepts is used up.
  kRateLimited,
  /// The leaf asked this daemon for a pause.
  kPaused,
  /// The leaf has been draining for longer than the grace period.
  kDrained,
  kUnreachable,
  kGone,
};

std::string_view ToString(LeafState state);
LeafState StateOf(const RelayLeaf& leaf, TimePoint now);

}  // namespace bramleyspoke
