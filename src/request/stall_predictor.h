#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace bramleyspoke {

/// Finds the period at which leafs stall, from the stalls of all leafs.
///
/// Leafs may stall periodically, each at its own phase, for example for a
/// garbage collection or a checkpoint. One interval may be a coincidence, so it
/// is taken as the period only after `kMinMatches` matching intervals of any
/// leafs.
class StallPeriod {
 public:
  /// Intervals that differ by no more than this count as the same.
  static constexpr Duration kTolerance = std::chrono::milliseconds(40);
  /// Number of times that the same interval must have been recorded.
  static constexpr std::size_t kMinMatches = 4;
  static constexpr Duration kMinPeriod = std::chrono::seconds(1);
  static constexpr Duration kMaxPeriod = std::chrono::minutes(2);

  /// Records the interval between two stalls of one leaf.
  void Record(Duration interval);
  std::optional<Duration> Estimate() const { return m_period; }

 private:
  static constexpr std::size_t kMaxIntervals = 64;

  std::vector<Duration> m_intervals;
  std::size_t m_next_index = 0;
  std::optional<Duration> m_period;
};

/// Predicts a leaf's next stall from its previous ones.
class StallPredictor {
 public:
  /// Silence shorter than this is not a stall.
  static constexpr Duration kMinStallLength = std::chrono::milliseconds(60);
  /// Silence longer than this is a failure.
  static constexpr Duration kMaxStallLength = std::chrono::milliseconds(1500);

  /// Records that the leaf was silent from `begin` to `end`.
  void OnStall(TimePoint begin, TimePoint end, StallPeriod& period);
  /// Records that the leaf responded at `now` to a request sent at `sent`, as
  /// fast as usual. Drops the last stall if the next one was predicted for
  /// then.
  void OnPromptResponse(TimePoint sent,
                        TimePoint now,
                        const StallPeriod& period);
  /// End of the last stall, if one is known.
  std::optional<TimePoint> LastEnd() const { return m_last_end; }
  /// Length of the longest known stall.
  Duration Length() const { return m_length; }
  /// How long a request that would run from `from` to `to` is delayed by a
  /// predicted stall.
  Duration PredictedDelay(TimePoint from,
                          TimePoint to,
                          const StallPeriod& period) const;

 private:
  struct PredictedStall {
    TimePoint begin;
    TimePoint end;
  };
  /// The first predicted stall that ends after `time`.
  std::optional<PredictedStall> NextStall(TimePoint time,
                                          const StallPeriod& period) const;

  std::optional<TimePoint> m_last_end;
  Duration m_length{0};
};

}  // namespace bramleyspoke
