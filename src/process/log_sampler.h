#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace bramleyspoke {

/// Priority of a line when more lines are offered than may be written.
enum class LogPriority {
  /// Refusals and failed requests.
  kFailure,
  kOther,
};

/// Limits the number of lines about requests that are written per second.
///
/// Above the limit, requests are sampled by a hash of their id, which is the
/// same at every daemon: the lines of a sampled request are written by all
/// daemons. Lines about failures may use the whole limit, other lines the rest
/// of it, but at least a tenth. As sampling starts only when the limit is
/// reached, a burst may write up to twice the limit.
class LogSampler {
 public:
  explicit LogSampler(std::uint32_t lines_per_second);

  /// Decides whether to write a line about this request, and counts it.
  bool Admit(std::string_view request_id, LogPriority priority, TimePoint now);
  /// The number of lines suppressed since the last call.
  std::uint64_t TakeSuppressedCount();

 private:
  struct PriorityCounters {
    /// The share of requests whose lines are written, from 0 to 1.
    double kept_share = 1;
    std::uint32_t offered = 0;
    std::uint32_t written = 0;
  };

  void BeginSecond(TimePoint now);
  std::uint32_t LineLimit(LogPriority priority) const;

  std::uint32_t m_lines_per_second;
  TimePoint m_second_start;
  std::array<PriorityCounters, 2> m_counters;
  std::uint64_t m_suppressed = 0;
};

}  // namespace bramleyspoke
