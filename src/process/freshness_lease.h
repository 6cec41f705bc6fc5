#pragma once

#include <atomic>

#include "base/time.h"

namespace bramleyspoke {

/// Lease that is valid while the control thread is alive and up to date.
///
/// The control thread renews it. The request path checks it before each request
/// and each attempt, so that after a pause of the process nothing is sent based
/// on a routing table from before the pause.
class FreshnessLease {
 public:
  /// Time for which a renewal is valid.
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
