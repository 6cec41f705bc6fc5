#pragma once

#include "base/time.h"

namespace bramleyspoke {

/// How closely a daemon and the store keep in touch; each call has its price.
struct StorePace {
  /// Of the daemon's entry, once it is no longer renewed.
  Duration time_to_live;
  Duration renew_time;
  /// How long one watch waits; a connection that went silent is found by then.
  Duration watch_time;
  /// Between an answer with changes and the next watch, so that changes that
  /// come close together share a call.
  Duration gather_time;

  bool operator==(const StorePace&) const = default;
};

/// For one that serves callers.
inline constexpr StorePace kServingPace{
    std::chrono::milliseconds(4000), std::chrono::milliseconds(1300),
    std::chrono::milliseconds(6000), std::chrono::milliseconds(400)};
/// For one of a large fleet that no caller is told of: it takes a holder's
/// place within a watch's answer.
inline constexpr StorePace kStandbyPace{
    std::chrono::milliseconds(20000), std::chrono::milliseconds(8000),
    std::chrono::milliseconds(20000), std::chrono::milliseconds(1200)};

}  // namespace bramleyspoke
