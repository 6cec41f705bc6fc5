#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "request/layout_plan.h"

namespace bramleyspoke {

/// What admission weighs a query against.
struct LoadView {
  /// Tasks that wait for a slot, over all shards.
  std::size_t waiting = 0;
  /// Queries whose canary is out: they will wait at all shards.
  std::size_t held = 0;
  std::uint32_t slot_share = 1;
  /// How long a slot is taken by one attempt.
  Duration mean_latency{0};
};

/// Refuses queries that could not be answered in time, before they cost.
class Admission {
 public:
  /// Queries that may be under way, waiting for a snapshot included.
  static constexpr std::size_t kMostQueries = 4096;
  /// Bytes of hits that all queries under way may hold.
  static constexpr std::size_t kMostHeldBytes = std::size_t{128} << 20U;
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(100);
  /// Tasks that may wait at one shard.
  static constexpr std::size_t kMostWaiting = 1024;

  /// Nothing if the query may enter; else when its caller should come back.
  std::optional<Duration> Check(const LayoutPlan& plan,
                                const LoadView& load,
                                TimePoint deadline,
                                TimePoint now);
  /// Whether a query was refused a moment ago.
  bool WasOverloaded(TimePoint now) const;

 private:
  TimePoint m_last_refusal;
};

}  // namespace bramleyspoke
