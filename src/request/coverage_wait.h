#pragma once

#include <cstddef>

#include "base/time.h"

namespace bramleyspoke {

/// How far a fan-out has come.
struct FanOutProgress {
  std::size_t shards = 0;
  std::size_t answered = 0;
  /// Shards whose answer may still come.
  std::size_t open = 0;
};

enum class CoverageStep {
  kWait,
  kAnswer,
  /// The least coverage is out of reach.
  kGiveUp,
};

/// When a fan-out needs its answer.
struct CoverageTimes {
  /// An answer sent until then reaches its caller in time.
  TimePoint answer_by;
  TimePoint deadline;
};

/// How long a late answer waits for more shards once it covers enough.
inline constexpr Duration kLateWait = std::chrono::milliseconds(300);

/// Whether a fan-out goes on waiting.
///
/// An answer in time with a shard missing is worth far more than a whole one
/// that is late, so the last straggler is waited for until `answer_by` and no
/// longer. Once late, there is no hurry: stragglers get a moment more.
CoverageStep NextCoverageStep(const FanOutProgress& progress,
                              double min_coverage,
                              const CoverageTimes& times,
                              TimePoint now);

}  // namespace bramleyspoke
