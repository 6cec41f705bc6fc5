#include "request/stall_predictor.h"

#include <algorithm>
#include <cmath>

namespace bramleyspoke {
namespace {

// Stalls that end this close together are one stall seen by several requests.
constexpr Duration kSameStall = std::chrono::milliseconds(400);
// Overlap of a prompt response with a predicted stall that refutes the
// prediction.
constexpr Duration kRefuting = std::chrono::milliseconds(60);

bool Agree(Duration a, Duration b) {
  return std::chrono::abs(a - b) <= StallPeriod::kTolerance;
}

}  // namespace

void StallPeriod::Record(Duration interval) {
  if (interval < kShortest || interval > kLongest) {
    return;
  }
  if (m_intervals.size() < kKept) {
    m_intervals.push_back(interval);
  } else {
    m_intervals[m_next++ % kKept] = interval;
  }
  Duration sum{0};
  std::size_t count = 0;
  for (const Duration other : m_intervals) {
    if (Agree(other, interval)) {
      sum += other;
      ++count;
    }
  }
  if (count >= kConfirmations) {
    m_period = sum / static_cast<std::int64_t>(count);
  }
}

void StallPredictor::OnStall(TimePoint begin,
                             TimePoint end,
                             StallPeriod& period) {
  const Duration length = end - begin;
  if (length < kShortestStall || length > kLongestStall) {
    return;
  }
  if (m_last_end && end - *m_last_end < kSameStall) {
    m_length = std::max(m_length, length);
    return;
  }
  if (m_last_end) {
    const Duration interval = end - *m_last_end;
    period.Record(interval);
    const auto known = period.Get();
    // A stall that does not fit the period counts only if the leaf has no known
    // stall yet: a request that merely took long must not move the prediction.
    if (known && m_length > Duration::zero()) {
      const auto steps = std::max<std::int64_t>(
          1, std::llround(double(interval.count()) / double(known->count())));
      if (!Agree(interval, *known * steps)) {
        return;
      }
    }
  }
  m_last_end = end;
  m_length = std::max(m_length, length);
}

void StallPredictor::OnPrompt(TimePoint sent,
                              TimePoint now,
                              const StallPeriod& period) {
  const auto window = Next(sent, period);
  if (!window) {
    return;
  }
  const TimePoint begin = std::max(window->begin, sent);
  const TimePoint end = std::min(window->end, now);
  const bool is_inside = now < window->end - kRefuting;
  if (is_inside && end - begin > std::min(kRefuting, m_length / 3)) {
    m_last_end.reset();
    m_length = Duration::zero();
  }
}

Duration StallPredictor::HoldUp(TimePoint from,
                                TimePoint to,
                                const StallPeriod& period) const {
  const auto window = Next(from, period);
  if (!window || to <= window->begin) {
    return Duration::zero();
  }
  return window->end - std::max(from, window->begin);
}

std::optional<StallPredictor::Window> StallPredictor::Next(
    TimePoint time,
    const StallPeriod& period) const {
  const auto known = period.Get();
  if (!m_last_end || !known) {
    return std::nullopt;
  }
  const Duration since = time - *m_last_end;
  const std::int64_t steps = since < Duration::zero() ? 0 : since / *known + 1;
  const TimePoint end = *m_last_end + *known * steps;
  return Window{end - m_length, end};
}

}  // namespace bramleyspoke
