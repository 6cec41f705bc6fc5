#include "request/stall_predictor.h"

#include <algorithm>
#include <cmath>

namespace bramleyspoke {
namespace {

// Stalls that end this close together are one stall seen by several requests.
constexpr Duration kSameStallInterval = std::chrono::milliseconds(400);
// Overlap, between a predicted stall and a request that was answered promptly,
// above which the prediction is dropped; a third of the stall's length if that
// is shorter. The response must also arrive more than this time before the
// predicted end.
constexpr Duration kMinRefutingOverlap = std::chrono::milliseconds(60);

bool IsSameInterval(Duration a, Duration b) {
  return std::chrono::abs(a - b) <= StallPeriod::kTolerance;
}

}  // namespace

void StallPeriod::Record(Duration interval) {
  if (interval < kMinPeriod || interval > kMaxPeriod) {
    return;
  }
  if (m_intervals.size() < kMaxIntervals) {
    m_intervals.push_back(interval);
  } else {
    m_intervals[m_next_index++ % kMaxIntervals] = interval;
  }
  Duration sum{0};
  std::size_t count = 0;
  for (const Duration other : m_intervals) {
    if (IsSameInterval(other, interval)) {
      sum += other;
      ++count;
    }
  }
  if (count >= kMinMatches) {
    m_period = sum / static_cast<std::int64_t>(count);
  }
}

void StallPredictor::OnStall(TimePoint begin,
                             TimePoint end,
                             StallPeriod& period) {
  const Duration length = end - begin;
  if (length < kMinStallLength || length > kMaxStallLength) {
    return;
  }
  if (m_last_end && end - *m_last_end < kSameStallInterval) {
    m_length = std::max(m_length, length);
    return;
  }
  if (m_last_end) {
    const Duration interval = end - *m_last_end;
    period.Record(interval);
    const auto known_period = period.Estimate();
    // A stall that does not fit the period counts only if the leaf has no known
    // stall yet: a request that merely took long must not move the prediction.
    if (known_period && m_length > Duration::zero()) {
      const auto periods = std::max<std::int64_t>(
          1, std::llround(double(interval.count()) /
                          double(known_period->count())));
      if (!IsSameInterval(interval, *known_period * periods)) {
        return;
      }
    }
  }
  m_last_end = end;
  m_length = std::max(m_length, length);
}

void StallPredictor::OnPromptResponse(TimePoint sent,
                                      TimePoint now,
                                      const StallPeriod& period) {
  const auto next_stall = NextStall(sent, period);
  if (!next_stall) {
    return;
  }
  const TimePoint begin = std::max(next_stall->begin, sent);
  const TimePoint end = std::min(next_stall->end, now);
  const bool is_inside = now < next_stall->end - kMinRefutingOverlap;
  if (is_inside && end - begin > std::min(kMinRefutingOverlap, m_length / 3)) {
    m_last_end.reset();
    m_length = Duration::zero();
  }
}

Duration StallPredictor::PredictedDelay(TimePoint from,
                                        TimePoint to,
                                        const StallPeriod& period) const {
  const auto next_stall = NextStall(from, period);
  if (!next_stall || to <= next_stall->begin) {
    return Duration::zero();
  }
  return next_stall->end - std::max(from, next_stall->begin);
}

std::optional<StallPredictor::PredictedStall> StallPredictor::NextStall(
    TimePoint time,
    const StallPeriod& period) const {
  const auto known_period = period.Estimate();
  if (!m_last_end || !known_period) {
    return std::nullopt;
  }
  const Duration since = time - *m_last_end;
  const std::int64_t periods =
      since < Duration::zero() ? 0 : since / *known_period + 1;
  const TimePoint end = *m_last_end + *known_period * periods;
  return PredictedStall{end - m_length, end};
}

}  // namespace bramleyspoke
