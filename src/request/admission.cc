#include "request/admission.h"

#include <algorithm>

namespace bramleyspoke {
namespace {

// Divisor of a query's remaining time less the mean latency. A shard with a
// longer expected wait than the result counts as overloaded. If waits could
// fill the whole remaining time, any further delay would make every queued
// query miss its deadline.
constexpr int kMaxWaitDivisor = 4;
constexpr Duration kOverloadWindow = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

Duration ExpectedWait(const ShardPlan& shard, const CurrentLoad& load) {
  const std::size_t slots =
      std::max<std::size_t>(1, shard.replicas.size() * load.slot_share);
  const auto queued =
      static_cast<std::int64_t>(shard.waiting.size() + load.awaiting_canary);
  return load.mean_latency * queued / static_cast<std::int64_t>(slots);
}

}  // namespace

std::optional<Duration> Admission::Check(const LayoutPlan& plan,
                                         const CurrentLoad& load,
                                         TimePoint deadline,
                                         TimePoint now) {
  if (load.waiting + load.awaiting_canary == 0) {
    return std::nullopt;
  }
  // A few overloaded shards only reduce coverage. The query is refused when
  // more than half of the shards are overloaded.
  const Duration max_wait =
      (deadline - now - load.mean_latency) / kMaxWaitDivisor;
  std::size_t overloaded_shards = 0;
  Duration longest_wait{0};
  for (const ShardPlan& shard : plan.Shards()) {
    const Duration wait = ExpectedWait(shard, load);
    longest_wait = std::max(longest_wait, wait);
    overloaded_shards +=
        wait > max_wait || shard.waiting.size() >= kMaxWaitingTasks ? 1 : 0;
  }
  if (overloaded_shards * 2 <= plan.Shards().size()) {
    return std::nullopt;
  }
  m_last_refusal = now;
  return std::clamp(longest_wait, kMinRetryAfter, kMaxRetryAfter);
}

bool Admission::WasOverloaded(TimePoint now) const {
  return m_last_refusal != TimePoint{} &&
         now - m_last_refusal < kOverloadWindow;
}

}  // namespace bramleyspoke
