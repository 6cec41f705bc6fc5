#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "request/engine_options.h"
#include "request/latency_histogram.h"

namespace bramleyspoke {

/// Says how long an attempt is out before it gets a hedge.
class HedgePolicy {
 public:
  HedgePolicy(HedgeMode mode, Duration fixed_delay)
      : m_mode(mode), m_fixed_delay(fixed_delay) {}

  /// Takes the quantile anew from time to time.
  void OnLatency(const LatencyHistogram& latencies, double extra_load_percent);
  /// Nothing when hedges are off.
  std::optional<Duration> Delay() const;
  /// The high quantile of late, also when hedges are off.
  Duration QuantileDelay() const { return m_quantile_delay; }

 private:
  HedgeMode m_mode;
  Duration m_fixed_delay;
  Duration m_quantile_delay = std::chrono::milliseconds(50);
  std::uint32_t m_since_update = 0;
};

}  // namespace bramleyspoke
