#include "request/coverage_wait.h"

namespace bramleyspoke {
namespace {

// Tolerance for `min_coverage`, a decimal fraction that is not exact in binary:
// 9 of 10 shards must satisfy 0.9.
constexpr double kRoundingTolerance = 1e-9;

bool IsEnough(std::size_t count, std::size_t shards, double min_coverage) {
  return count > 0 && static_cast<double>(count) + kRoundingTolerance >=
                          min_coverage * static_cast<double>(shards);
}

}  // namespace

CoverageStep NextCoverageStep(const FanOutProgress& progress,
                              double min_coverage,
                              const CoverageTimes& times,
                              TimePoint now) {
  const std::size_t reachable = progress.answered + progress.open;
  if (!IsEnough(reachable, progress.shards, min_coverage)) {
    return CoverageStep::kGiveUp;
  }
  if (progress.open == 0) {
    return CoverageStep::kAnswer;
  }
  const bool is_enough =
      IsEnough(progress.answered, progress.shards, min_coverage);
  if (now >= times.deadline) {
    return is_enough ? CoverageStep::kAnswer : CoverageStep::kGiveUp;
  }
  const bool is_answer_due = now >= times.answer_by;
  const bool is_late_wait_over = now >= times.answer_by + kLateWait;
  // Up to a tenth of `kLateWait` after `answer_by` counts as in time.
  const bool is_in_time = now < times.answer_by + kLateWait / 10;
  if (is_enough && is_answer_due && (is_in_time || is_late_wait_over)) {
    return CoverageStep::kAnswer;
  }
  return CoverageStep::kWait;
}

}  // namespace bramleyspoke
