#pragma once

#include <string>

#include "base/time.h"

namespace bramleyspoke {

/// Determines the delay after which an outstanding attempt is hedged.
enum class HedgeMode {
  kOff,
  /// `EngineOptions::fixed_hedge_delay`.
  kFixedDelay,
  /// A high quantile of recent latencies.
  kQuantile,
};

/// Options of a query engine; the daemon uses the defaults.
struct EngineOptions {
  HedgeMode hedge_mode = HedgeMode::kQuantile;
  /// Hedge delay of `HedgeMode::kFixedDelay`.
  Duration fixed_hedge_delay = std::chrono::milliseconds(20);
  /// Whether a request that no leaf has answered yet is sent to one leaf first.
  bool has_canaries = true;
  /// Region of this daemon; empty if unknown.
  std::string region;
};

}  // namespace bramleyspoke
