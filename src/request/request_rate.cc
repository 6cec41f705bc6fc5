#include "request/request_rate.h"

#include <algorithm>
#include <cmath>

namespace bramleyspoke {
namespace {

// Earlier requests count less: about a third after this time.
constexpr Duration kWindow = std::chrono::seconds(1);
// Expected intervals without a request after which the requests are taken to
// have stopped: random arrivals have such a gap once in 50.
constexpr double kMaxSilentIntervals = 4;
// Below this sum of others' weights there is no rate to rely on.
constexpr double kMinRecent = 0.5;

}  // namespace

void RequestRate::OnRequest(double weight, TimePoint now) {
  const double age = std::chrono::duration<double>(now - m_last_at) / kWindow;
  m_recent = m_recent * std::exp(-age) + weight;
  m_last_weight = weight;
  m_last_at = now;
}

std::optional<Duration> RequestRate::TimeFor(double count,
                                             TimePoint now) const {
  const double others = m_recent - m_last_weight;
  if (others < kMinRecent) {
    return std::nullopt;
  }
  const std::chrono::duration<double> interval = kWindow / others;
  const std::chrono::duration<double> silence = now - m_last_at;
  if (silence > interval * kMaxSilentIntervals) {
    return std::nullopt;
  }
  const double following = std::max(0.0, std::ceil(count) - 1);
  return std::chrono::duration_cast<Duration>(std::max(interval, silence) +
                                              interval * following);
}

}  // namespace bramleyspoke
