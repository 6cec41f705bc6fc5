#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "request/layout_plan.h"

namespace bramleyspoke {

/// Current load, which decides whether a query is admitted.
struct CurrentLoad {
  /// Tasks that wait for a slot, summed over all shards.
  std::size_t waiting = 0;
  /// Queries that wait for their canary; afterwards they queue at all shards.
  std::size_t awaiting_canary = 0;
  std::uint32_t slot_share = 1;
  /// Mean time for which an attempt occupies a slot.
  Duration mean_latency{0};
};

/// Refuses queries that are unlikely to be answered before their deadline,
/// before any attempt is sent for them.
class Admission {
 public:
  /// Most queries in flight, including those that wait for a snapshot.
  static constexpr std::size_t kMaxQueriesInFlight = 4096;
  /// Most bytes of hits held by all queries in flight together.
  static constexpr std::size_t kMaxHeldBytes = std::size_t{128} << 20U;
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(100);
  /// Most tasks that wait at one shard.
  static constexpr std::size_t kMaxWaitingTasks = 1024;

  /// Empty if the query is admitted; otherwise the time after which its caller
  /// should retry.
  std::optional<Duration> Check(const LayoutPlan& plan,
                                const CurrentLoad& load,
                                TimePoint deadline,
                                TimePoint now);
  /// Whether a query was refused recently.
  bool WasOverloaded(TimePoint now) const;

 private:
  TimePoint m_last_refusal;
};

}  // namespace bramleyspoke
