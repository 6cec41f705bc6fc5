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
  /// Attempts handed to connections, hedges and retries included.
  std::uint64_t attempts = 0;
  /// First attempts: one per shard that a query was sent to.
  std::uint64_t needed = 0;
  /// Attempts that never reached a leaf, for lack of a connection.
  std::uint64_t not_sent = 0;
  std::uint64_t hedges = 0;
  std::uint64_t hedge_wins = 0;
  std::uint64_t retries = 0;
  std::uint64_t cancels = 0;
  /// Answers that arrived after their shard or query was complete.
  std::uint64_t late_answers = 0;
  std::uint64_t ejections = 0;
  /// Queries restarted because their version was no longer served.
  std::uint64_t restarts = 0;
  /// Refusals by `RefusalReason`.
  std::array<std::uint64_t, kRefusalReasons> refusals{};
};

}  // namespace bramleyspoke
