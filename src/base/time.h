#pragma once

#include <chrono>

namespace bramleyspoke {

/// Monotonic time; no guarantee depends on wall clocks.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

/// Source of the current time; tests substitute a clock that they control.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

/// The machine's monotonic clock.
class SteadyClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
};

/// `duration` in milliseconds; a fraction is discarded.
constexpr long long ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace bramleyspoke
