#pragma once

#include <cstddef>

#include "base/time.h"

namespace bramleyspoke {

/// Progress of a fan-out, in shards.
struct FanOutProgress {
  std::size_t shards = 0;
  std::size_t answered = 0;
  /// Shards whose answer may still come.
  std::size_t open = 0;
};

enum class CoverageStep {
  kWait,
  kAnswer,
  /// The minimum coverage can no longer be reached, or was not reached by the
  /// deadline.
  kGiveUp,
};

/// Times that bound the wait of a fan-out.
struct CoverageTimes {
  /// Latest time at which an answer still reaches its caller in time.
  TimePoint answer_by;
  TimePoint deadline;
};

/// Time after `answer_by` for which a late answer waits for more shards.
inline constexpr Duration kLateWait = std::chrono::milliseconds(300);

/// Decides whether a fan-out waits for more shards, answers or gives up.
///
/// Once `min_coverage` is reached, outstanding shards are waited for only until
/// `answer_by`: a partial answer in time is better than a complete late one. An
/// answer that is already late waits for more shards until `kLateWait` after
/// `answer_by`.
CoverageStep NextCoverageStep(const FanOutProgress& progress,
                              double min_coverage,
                              const CoverageTimes& times,
                              TimePoint now);

}  // namespace bramleyspoke
