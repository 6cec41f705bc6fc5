#include "request/hedge_policy.h"

#include <algorithm>

namespace bramleyspoke {
namespace {

constexpr std::uint32_t kUpdateEvery = 64;
constexpr Duration kLeastDelay = std::chrono::milliseconds(1);
constexpr double kLeastQuantile = 0.5;
constexpr double kPercent = 100;

}  // namespace

void HedgePolicy::OnLatency(const LatencyHistogram& latencies,
                            double extra_load_percent) {
  if (++m_since_update < kUpdateEvery) {
    return;
  }
  m_since_update = 0;
  // The share of attempts slower than this quantile equals the share that the
  // extra-load budget allows to be hedged.
  const double quantile =
      std::max(kLeastQuantile, 1 - extra_load_percent / kPercent);
  m_quantile_delay = std::max(kLeastDelay, latencies.Quantile(quantile));
}

std::optional<Duration> HedgePolicy::Delay() const {
  switch (m_mode) {
    case HedgeMode::kFixedDelay:
      return m_fixed_delay;
    case HedgeMode::kQuantile:
      return m_quantile_delay;
    case HedgeMode::kOff:
      break;
  }
  return std::nullopt;
}

}  // namespace bramleyspoke
