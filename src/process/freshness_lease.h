#pragma once

#include <atomic>

#include "base/time.h"

namespace bramleyspoke {

/// Says whether the control thread is alive and up to date.
///
/// The control thread renews it; traffic checks it before each request and
/// each attempt, so that a process which was paused sends nothing by a view
/// from before the pause.
class FreshnessLease {
 public:
  /// A renewal holds this long.
  static constexpr Duration kLength = std::chrono::seconds(2);

  void Renew(TimePoint now) { m_renewed_at = now; }
  bool IsValid(TimePoint now) const {
    const TimePoint renewed_at = m_renewed_at;
    return renewed_at != TimePoint{} && now - renewed_at < kLength;
  }

 private:
  std::atomic<TimePoint> m_renewed_at{TimePoint{}};
};

}  // namespace bramleyspoke
