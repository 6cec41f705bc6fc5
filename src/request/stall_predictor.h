#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace bramleyspoke {

/// Finds the period in which leafs stall, over all leafs.
///
/// Load: leafs that stop for a moment in a fixed rhythm, each at its own time,
/// as for a collection or a checkpoint. One leaf's two stalls may be chance;
/// the same interval at several leafs is not.
class StallPeriod {
 public:
  /// Intervals that agree within this are the same.
  static constexpr Duration kTolerance = std::chrono::milliseconds(40);
  /// Leafs that must have shown the same interval.
  static constexpr std::size_t kConfirmations = 4;
  static constexpr Duration kShortest = std::chrono::seconds(1);
  static constexpr Duration kLongest = std::chrono::minutes(2);

  /// An interval between two stalls of one leaf.
  void Record(Duration interval);
  std::optional<Duration> Get() const { return m_period; }

 private:
  static constexpr std::size_t kKept = 64;

  std::vector<Duration> m_intervals;
  std::size_t m_next = 0;
  std::optional<Duration> m_period;
};

/// Foretells one leaf's next stall from its last ones.
class StallPredictor {
 public:
  /// Silence shorter than this is no stall.
  static constexpr Duration kShortestStall = std::chrono::milliseconds(60);
  /// Silence longer than this is a failure.
  static constexpr Duration kLongestStall = std::chrono::milliseconds(1500);

  /// The leaf was silent from `begin` to `end`.
  void OnStall(TimePoint begin, TimePoint end, StallPeriod& period);
  /// The leaf answered at `now` what it was sent at `sent`, as fast as usual.
  void OnPrompt(TimePoint sent, TimePoint now, const StallPeriod& period);
  /// The last stall, if one is remembered.
  std::optional<TimePoint> LastEnd() const { return m_last_end; }
  Duration Length() const { return m_length; }
  /// How long work that would run from `from` to `to` is held up by a stall.
  Duration HoldUp(TimePoint from,
                  TimePoint to,
                  const StallPeriod& period) const;

 private:
  /// The first stall whose end is after `time`; begin and end.
  struct Window {
    TimePoint begin;
    TimePoint end;
  };
  std::optional<Window> Next(TimePoint time, const StallPeriod& period) const;

  std::optional<TimePoint> m_last_end;
  Duration m_length{0};
};

}  // namespace bramleyspoke
