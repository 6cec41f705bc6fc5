#include "request/admission.h"

#include <algorithm>

namespace bramleyspoke {
namespace {

// Divisor of a query's remaining time: the result is the longest expected wait
// with which it is admitted. If waits could fill the whole remaining time, any
// further delay would make every queued query miss its deadline.
constexpr int kWaitShare = 4;
constexpr Duration kOverloadMemory = std::chrono::seconds(1);
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(10);
constexpr Duration kMostRetryAfter = std::chrono::seconds(5);

Duration WaitAt(const ShardPlan& shard, const LoadView& load) {
  const std::size_t drained_at_once =
      std::max<std::size_t>(1, shard.replicas.size() * load.slot_share);
  const auto turns =
      static_cast<std::int64_t>(shard.waiting.size() + load.held);
  return load.mean_latency * turns / static_cast<std::int64_t>(drained_at_once);
}

}  // namespace

std::optional<Duration> Admission::Check(const LayoutPlan& plan,
                                         const LoadView& load,
                                         TimePoint deadline,
                                         TimePoint now) {
  if (load.waiting + load.held == 0) {
    return std::nullopt;
  }
  // A few overloaded shards only reduce coverage. The query is refused when
  // more than half of the shards are overloaded.
  const Duration most_wait = (deadline - now - load.mean_latency) / kWaitShare;
  std::size_t late = 0;
  Duration longest{0};
  for (const ShardPlan& shard : plan.Shards()) {
    const Duration wait = WaitAt(shard, load);
    longest = std::max(longest, wait);
    late += wait > most_wait || shard.waiting.size() >= kMostWaiting ? 1 : 0;
  }
  if (late * 2 <= plan.Shards().size()) {
    return std::nullopt;
  }
  m_last_refusal = now;
  return std::clamp(longest, kLeastRetryAfter, kMostRetryAfter);
}

bool Admission::WasOverloaded(TimePoint now) const {
  return m_last_refusal != TimePoint{} &&
         now - m_last_refusal < kOverloadMemory;
}

}  // namespace bramleyspoke
