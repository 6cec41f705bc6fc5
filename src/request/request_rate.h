#pragma once

#include <optional>

#include "base/time.h"

namespace bramleyspoke {

/// Recent rate of a service's requests at this daemon, and when more of them
/// can be expected.
class RequestRate {
 public:
  /// `weight` is the part of the request that counts.
  void OnRequest(double weight, TimePoint now);
  /// Expected time until `count` more have come; empty if none are expected.
  /// The last one is not counted: it may be of the one who asks.
  std::optional<Duration> TimeFor(double count, TimePoint now) const;

 private:
  /// Sum of weights as of `m_last_at`, decayed.
  double m_recent = 0;
  double m_last_weight = 0;
  TimePoint m_last_at;
};

}  // namespace bramleyspoke
