#pragma once

#include "base/time.h"

namespace bramleyspoke {

/// Intervals of a daemon's calls to the store; longer ones cost fewer calls.
struct StoreTimings {
  /// Time to live of the lease on the daemon's entry.
  Duration time_to_live;
  Duration renew_interval;
  /// Time that one watch waits for changes.
  Duration watch_wait;
  /// Delay between an answer with changes and the next watch, so that changes
  /// in quick succession share a call.
  Duration batch_delay;
  /// Time in which a watch is answered after a read has shown a change.
  Duration max_watch_delay;
  /// Longest delay before a failed call is repeated.
  Duration max_retry_delay;

  bool operator==(const StoreTimings&) const = default;
};

/// For a holder.
inline constexpr StoreTimings kHolderTimings{
    std::chrono::milliseconds(4000), std::chrono::milliseconds(1300),
    std::chrono::milliseconds(6000), std::chrono::milliseconds(400),
    std::chrono::milliseconds(200),  std::chrono::milliseconds(800)};
/// For a standby, which learns from the response to a watch that it has become
/// a holder. Its watches are mostly answered by a peer, which is behind the
/// store by its own batch delay.
inline constexpr StoreTimings kStandbyTimings{
    std::chrono::milliseconds(20000), std::chrono::milliseconds(8000),
    std::chrono::milliseconds(20000), std::chrono::milliseconds(1200),
    std::chrono::milliseconds(1000),  std::chrono::milliseconds(2400)};

}  // namespace bramleyspoke
