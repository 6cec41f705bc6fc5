#include "request/replica_chooser.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "request/ejection.h"

namespace bramleyspoke {
namespace {

// A leaf's observed latency decays towards the typical latency, so that a leaf
// which was slow is tried again.
constexpr double kLatencyHalfLifeSeconds = 3;
constexpr Duration kWarmUpTime = std::chrono::seconds(10);
constexpr std::uint32_t kWarmUpSteps = 1000;
constexpr std::uint32_t kMinWarmUpStep = 50;
// Reported load may be stale or wrong, so it decides only between replicas of
// nearly equal cost.
constexpr double kReportedLoadWeight = 0.1;
constexpr double kOtherRegionCostFactor = 1.1;
// The second replica replaces the first only if its cost is below this ratio of
// the first one's.
constexpr double kSwitchCostRatio = 0.95;
constexpr Duration kMinLatency = std::chrono::microseconds(50);

struct Candidates {
  std::array<std::uint8_t, LayoutPlan::kMaxReplicas> replicas{};
  std::uint32_t count = 0;
  bool has_usable = false;
};

Candidates GatherCandidates(const ShardPlan& shard,
                            const ChoiceQuery& query,
                            const ReplicaTable& table,
                            bool include_ejected,
                            TimePoint now) {
  Candidates result;
  for (std::size_t i = 0; i < shard.replicas.size(); ++i) {
    const LeafRecord& leaf = table.At(shard.replicas[i].leaf);
    const bool was_tried = ((query.tried >> i) & 1U) != 0;
    const bool is_excluded =
        !include_ejected && EjectionPolicy::IsEjected(leaf, now);
    if (was_tried || is_excluded || !leaf.IsOpen() ||
        !leaf.Has(query.version)) {
      continue;
    }
    result.has_usable = true;
    if (leaf.in_flight < query.slot_share) {
      result.replicas[result.count++] = static_cast<std::uint8_t>(i);
    }
  }
  return result;
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double ExpectedLatency(const LeafRecord& leaf,
                       Duration typical,
                       TimePoint now) {
  const double base = ToSeconds(std::max(typical, kMinLatency));
  if (leaf.latency == Duration::zero()) {
    return base;
  }
  const double age = ToSeconds(now - leaf.latency_at);
  const double weight = std::exp2(-age / kLatencyHalfLifeSeconds);
  return base + (ToSeconds(leaf.latency) - base) * weight;
}

}  // namespace

Choice ReplicaChooser::Choose(const ShardPlan& shard,
                              const ChoiceQuery& query,
                              TimePoint now) {
  Candidates candidates = GatherCandidates(shard, query, m_table, false, now);
  if (!candidates.has_usable && query.may_be_ejected) {
    candidates = GatherCandidates(shard, query, m_table, true, now);
  }
  if (candidates.count == 0) {
    return {candidates.has_usable ? ChoiceKind::kAllBusy : ChoiceKind::kNone,
            0};
  }
  if (candidates.count == 1) {
    return {ChoiceKind::kReplica, candidates.replicas[0]};
  }
  const std::uint32_t first = Random(candidates.count);
  std::uint32_t second = Random(candidates.count - 1);
  second += second >= first ? 1 : 0;
  std::uint32_t best = candidates.replicas[first];
  std::uint32_t other = candidates.replicas[second];
  if (CostOf(shard.replicas[other], query, now) <
      CostOf(shard.replicas[best], query, now) * kSwitchCostRatio) {
    std::swap(best, other);
  }
  if (ShouldSkipCold(m_table.At(shard.replicas[best].leaf), now)) {
    std::swap(best, other);
  }
  return {ChoiceKind::kReplica, best};
}

double ReplicaChooser::CostOf(const ReplicaPlan& replica,
                              const ChoiceQuery& query,
                              TimePoint now) const {
  const LeafRecord& leaf = m_table.At(replica.leaf);
  double cost = ExpectedLatency(leaf, query.typical_latency, now);
  cost *= leaf.in_flight + 1;
  cost *= 1 + kReportedLoadWeight *
                  std::clamp(leaf.reported_load.value_or(0), 0., 1.);
  return replica.is_near ? cost : cost * kOtherRegionCostFactor;
}

std::uint32_t ReplicaChooser::Random(std::uint32_t bound) {
  // SplitMix64 is small and random enough for load balancing.
  m_random_state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t z = m_random_state;
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
  z ^= z >> 31U;
  return static_cast<std::uint32_t>(((z >> 32U) * bound) >> 32U);
}

// The share of choices that a cold leaf keeps grows linearly during warm-up.
bool ReplicaChooser::ShouldSkipCold(const LeafRecord& leaf, TimePoint now) {
  if (!leaf.cold_since || now - *leaf.cold_since >= kWarmUpTime) {
    return false;
  }
  const auto step = static_cast<std::uint32_t>((now - *leaf.cold_since) *
                                               kWarmUpSteps / kWarmUpTime);
  return Random(kWarmUpSteps) >= std::max(step, kMinWarmUpStep);
}

}  // namespace bramleyspoke
