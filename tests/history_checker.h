#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "history.h"

namespace bramleyspoke {

/// Guarantees that every history must satisfy.
enum class Guarantee {
  kOneSnapshot,
  kTrueCoverage,
  kOwnWholeAnswer,
  kNotRun,
  kAtMostOnce,
  kNoAttemptToDraining,
  kGracefulStop,
  kManifestInForce,
};

std::string_view ToString(Guarantee guarantee);

/// A violated guarantee, with a description of where it was violated.
struct Violation {
  Guarantee guarantee;
  std::string detail;
};

/// A leaf receives no new attempts later than this after its drain began.
constexpr Duration kDrainBound = std::chrono::seconds(3);
/// Longest time until an accepted manifest is in force on all daemons.
constexpr Duration kManifestBound = std::chrono::seconds(14);

/// Returns all violations in `history`.
std::vector<Violation> CheckHistory(const History& history);

/// Formats one line per violation.
std::string Describe(const std::vector<Violation>& violations);

}  // namespace bramleyspoke
