#pragma once

#include <string>

#include "base/time.h"

namespace bramleyspoke {

/// When an attempt that is out for long gets a second one beside it.
enum class HedgeMode {
  kOff,
  kFixedDelay,
  kQuantile,
};

/// Switches of a query engine; the defaults are what the daemon runs with.
struct EngineOptions {
  HedgeMode hedge_mode = HedgeMode::kQuantile;
  /// For `HedgeMode::kFixedDelay`.
  Duration fixed_hedge_delay = std::chrono::milliseconds(20);
  /// Whether a request not seen before goes to one leaf first.
  bool has_canaries = true;
  /// Region of this daemon; empty if unknown.
  std::string region;
};

}  // namespace bramleyspoke
