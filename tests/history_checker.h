#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "history.h"

namespace bramleyspoke {

/// What must always hold.
enum class Promise {
  kOneSnapshot,
  kTrueCoverage,
  kOwnWholeAnswer,
  kNotRun,
  kAtMostOnce,
  kNoWorkToLeaving,
  kGracefulStop,
  kManifestInForce,
};

std::string_view ToString(Promise promise);

/// A promise that a history breaks, and where.
struct Violation {
  Promise promise;
  std::string detail;
};

/// After this time a leaving leaf receives nothing new.
constexpr Duration kLeavingBound = std::chrono::seconds(3);
/// An accepted manifest is in force everywhere after this time.
constexpr Duration kManifestBound = std::chrono::seconds(14);

/// Decides from the history alone; empty if every promise was kept.
std::vector<Violation> CheckHistory(const History& history);

/// One line for each violation.
std::string Describe(const std::vector<Violation>& violations);

}  // namespace bramleyspoke
