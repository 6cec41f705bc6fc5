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

  bool operator==(const StoreTimings&) const = default;
};

/// For a holder.
inline constexpr StoreTimings kHolderTimings{
    std::chrono::milliseconds(4000), std::chrono::milliseconds(1300),
    std::chrono::milliseconds(6000), std::chrono::milliseconds(400)};
/// For a standby, which learns from the response to a watch that it has become
/// a holder.
inline constexpr StoreTimings kStandbyTimings{
    std::chrono::milliseconds(20000), std::chrono::milliseconds(8000),
    std::chrono::milliseconds(20000), std::chrono::milliseconds(1200)};

}  // namespace bramleyspoke
