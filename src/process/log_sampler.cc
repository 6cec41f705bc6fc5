#include "process/log_sampler.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bramleyspoke {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
// Factor on the kept share for the rest of a second once that second's limit is
// reached.
constexpr double kKeptShareDecrease = 0.125;
// Maximum factor on the kept share from one second to the next. Without it,
// every burst of requests would exceed the limit.
constexpr double kMaxKeptShareIncrease = 4;
// The limit divided by this is reserved for lines that are not about failures.
constexpr std::uint32_t kOtherLinesDivisor = 10;

// Hash of the id, scaled to the range from 0 to 1.
double HashFraction(std::string_view request_id) {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(
             XXH3_64bits(request_id.data(), request_id.size())) /
         kRange;
}

}  // namespace

LogSampler::LogSampler(std::uint32_t lines_per_second)
    : m_lines_per_second(lines_per_second) {}

bool LogSampler::Admit(std::string_view request_id,
                       LogPriority priority,
                       TimePoint now) {
  if (now - m_second_start >= kSecond) {
    BeginSecond(now);
  }
  PriorityCounters& counters = m_counters[static_cast<std::size_t>(priority)];
  ++counters.offered;
  const std::uint32_t limit = LineLimit(priority);
  if (HashFraction(request_id) >= counters.kept_share ||
      counters.written >= 2 * limit) {
    ++m_suppressed;
    return false;
  }
  ++counters.written;
  if (counters.written == limit) {
    counters.kept_share *= kKeptShareDecrease;
  }
  return true;
}

std::uint64_t LogSampler::TakeSuppressedCount() {
  return std::exchange(m_suppressed, 0);
}

void LogSampler::BeginSecond(TimePoint now) {
  m_second_start = now;
  for (const LogPriority priority :
       {LogPriority::kFailure, LogPriority::kOther}) {
    PriorityCounters& counters = m_counters[static_cast<std::size_t>(priority)];
    const double share_in_limit = static_cast<double>(LineLimit(priority)) /
                                  std::max(counters.offered, 1U);
    counters.kept_share = std::min(
        {1.0, share_in_limit, counters.kept_share * kMaxKeptShareIncrease});
  }
  for (PriorityCounters& counters : m_counters) {
    counters.offered = 0;
    counters.written = 0;
  }
}

std::uint32_t LogSampler::LineLimit(LogPriority priority) const {
  if (priority == LogPriority::kFailure) {
    return m_lines_per_second;
  }
  const std::uint32_t failures =
      m_counters[static_cast<std::size_t>(LogPriority::kFailure)].written;
  const std::uint32_t remaining =
      m_lines_per_second - std::min(failures, m_lines_per_second);
  return std::max(remaining, m_lines_per_second / kOtherLinesDivisor);
}

}  // namespace bramleyspoke
