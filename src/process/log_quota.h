#pragma once

#include <cstdint>

#include "base/time.h"

namespace bramleyspoke {

/// Bounds how many log lines are written in a second; counts the rest.
class LogQuota {
 public:
  explicit LogQuota(std::uint32_t lines_per_second)
      : m_lines_per_second(lines_per_second) {}

  /// Whether one more line may be written.
  bool Take(TimePoint now);
  /// Lines left out since the last call.
  std::uint64_t TakeSuppressed();

 private:
  std::uint32_t m_lines_per_second;
  TimePoint m_second_begins;
  std::uint32_t m_taken = 0;
  std::uint64_t m_suppressed = 0;
};

}  // namespace bramleyspoke
