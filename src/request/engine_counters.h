#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/refusal.h"

namespace bramleyspoke {

/// Number of values of `RefusalReason`.
inline constexpr std::size_t kRefusalReasons =
    static_cast<std::size_t>(RefusalReason::kLost) + 1;

/// Totals of a query engine since its start.
struct EngineCounters {
  std::uint64_t queries = 0;
  std::uint64_t answers = 0;
  /// Answers that cover the whole snapshot.
  std::uint64_t full_answers = 0;
  /// Sum of the coverage of all answers.
  double coverage_sum = 0;
  /// Attempts handed to connections, and shards that queries had to ask.
  std::uint64_t attempts = 0;
  std::uint64_t needed = 0;
  /// Attempts that found no connection, so never reached a leaf.
  std::uint64_t not_sent = 0;
  std::uint64_t hedges = 0;
  std::uint64_t hedge_wins = 0;
  std::uint64_t retries = 0;
  std::uint64_t cancels = 0;
  /// Answers that came when their shard or query was done already.
  std::uint64_t late_answers = 0;
  std::uint64_t ejections = 0;
  /// Queries begun again whole because their version went away.
  std::uint64_t restarts = 0;
  /// Refusals by `RefusalReason`.
  std::array<std::uint64_t, kRefusalReasons> refusals{};
};

}  // namespace bramleyspoke
