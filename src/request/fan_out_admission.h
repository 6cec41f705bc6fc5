#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.h"

namespace bramleyspoke {

/// Decides at a fan-out's arrival whether enough of its shards can be expected
/// to answer in time.
///
/// If work queues up at several shards, each request that is let in makes all
/// later ones lose a shard more, until none has the minimum coverage. To refuse
/// some of them before anything is sent leaves the others complete, and a
/// caller is told at once when to come back.
class FanOutAdmission {
 public:
  /// Retry time of a refusal if the queues are about to be short enough.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

  /// Adds a shard that can answer after `latency`.
  void Add(Duration latency) { m_latencies.push_back(latency); }
  /// The time after which the request may return, if fewer than `needed` shards
  /// are expected to answer within `time_left`; otherwise empty.
  std::optional<Duration> RetryAfter(double needed, Duration time_left) const;

 private:
  std::vector<Duration> m_latencies;
};

}  // namespace bramleyspoke
