#include "process/log_sampler.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bramleyspoke {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
// Factor on the kept share for the rest of a second once that second's limit is
// reached.
constexpr double kShrink = 0.125;
// Maximum factor on the kept share from one second to the next. Without it,
// every burst of requests would exceed the limit.
constexpr double kGrowth = 4;
// One line in this many of the limit is reserved for lines that are not about
// failures.
constexpr std::uint32_t kOtherPart = 10;

// Hash of the id, scaled to the range from 0 to 1.
double PlaceOf(std::string_view request_id) {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(
             XXH3_64bits(request_id.data(), request_id.size())) /
         kRange;
}

}  // namespace

LogSampler::LogSampler(std::uint32_t lines_per_second)
    : m_lines_per_second(lines_per_second) {}

bool LogSampler::Take(std::string_view request_id,
                      LogValue value,
                      TimePoint now) {
  if (now - m_second_begins >= kSecond) {
    BeginSecond(now);
  }
  Class& lines = m_classes[static_cast<std::size_t>(value)];
  ++lines.offered;
  const std::uint32_t bound = BoundOf(value);
  if (PlaceOf(request_id) >= lines.kept_share || lines.taken >= 2 * bound) {
    ++m_suppressed;
    return false;
  }
  ++lines.taken;
  if (lines.taken == bound) {
    lines.kept_share *= kShrink;
  }
  return true;
}

std::uint64_t LogSampler::TakeSuppressed() {
  return std::exchange(m_suppressed, 0);
}

void LogSampler::BeginSecond(TimePoint now) {
  m_second_begins = now;
  for (const LogValue value : {LogValue::kFailure, LogValue::kOther}) {
    Class& lines = m_classes[static_cast<std::size_t>(value)];
    const double fits =
        static_cast<double>(BoundOf(value)) / std::max(lines.offered, 1U);
    lines.kept_share = std::min({1.0, fits, lines.kept_share * kGrowth});
  }
  for (Class& lines : m_classes) {
    lines.offered = 0;
    lines.taken = 0;
  }
}

std::uint32_t LogSampler::BoundOf(LogValue value) const {
  if (value == LogValue::kFailure) {
    return m_lines_per_second;
  }
  const std::uint32_t failures =
      m_classes[static_cast<std::size_t>(LogValue::kFailure)].taken;
  const std::uint32_t left =
      m_lines_per_second - std::min(failures, m_lines_per_second);
  return std::max(left, m_lines_per_second / kOtherPart);
}

}  // namespace bramleyspoke
