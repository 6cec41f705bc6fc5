#include "request/hedge_policy.h"

#include <algorithm>

namespace bramleyspoke {
namespace {

constexpr std::uint32_t kLatenciesPerUpdate = 64;
constexpr Duration kMinDelay = std::chrono::milliseconds(1);
constexpr double kMinQuantile = 0.5;
constexpr double kPercent = 100;

}  // namespace

void HedgePolicy::OnLatency(const LatencyHistogram& latencies,
                            double extra_load_percent) {
  if (++m_latencies_since_update < kLatenciesPerUpdate) {
    return;
  }
  m_latencies_since_update = 0;
  // The share of attempts slower than this quantile equals the share that the
  // extra-load budget allows to be hedged.
  const double quantile =
      std::max(kMinQuantile, 1 - extra_load_percent / kPercent);
  m_quantile_delay = std::max(kMinDelay, latencies.Quantile(quantile));
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
