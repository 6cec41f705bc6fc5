#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "request/engine_options.h"
#include "request/latency_histogram.h"

namespace bramleyspoke {

/// Computes the time after which an outstanding attempt is hedged.
class HedgePolicy {
 public:
  HedgePolicy(HedgeMode mode, Duration fixed_delay)
      : m_mode(mode), m_fixed_delay(fixed_delay) {}

  /// Must be called for each observed latency; updates the quantile delay
  /// periodically.
  void OnLatency(const LatencyHistogram& latencies, double extra_load_percent);
  /// Delay before a hedge; nullopt if hedging is off.
  std::optional<Duration> Delay() const;
  /// High quantile of recent latencies; also kept when hedging is off.
  Duration QuantileDelay() const { return m_quantile_delay; }

 private:
  HedgeMode m_mode;
  Duration m_fixed_delay;
  Duration m_quantile_delay = std::chrono::milliseconds(50);
  std::uint32_t m_latencies_since_update = 0;
};

}  // namespace bramleyspoke
