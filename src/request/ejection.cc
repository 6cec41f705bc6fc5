#include "request/ejection.h"

#include <algorithm>

#include "request/layout_plan.h"

namespace bramleyspoke {
namespace {

constexpr std::uint32_t kFailuresToEject = 3;
constexpr Duration kInitialEjection = std::chrono::seconds(1);
constexpr Duration kInitialShedEjection = std::chrono::milliseconds(10);
constexpr std::uint32_t kMaxDoublings = 5;

// Half of a shard's replicas, rounded down but at least one, stay available.
bool CanEjectFrom(const ShardPlan& shard,
                  const ReplicaTable& table,
                  TimePoint now) {
  std::size_t available = 0;
  for (const ReplicaPlan& replica : shard.replicas) {
    available += EjectionPolicy::IsEjected(table.At(replica.leaf), now) ? 0 : 1;
  }
  const std::size_t min_available =
      std::max<std::size_t>(1, shard.replicas.size() / 2);
  return available > min_available;
}

}  // namespace

bool EjectionPolicy::OnFailure(LeafRecord& leaf,
                               const ReplicaTable& table,
                               TimePoint now) {
  ++leaf.failures_in_row;
  if (leaf.failures_in_row < kFailuresToEject || IsEjected(leaf, now)) {
    return false;
  }
  const bool may_eject = std::all_of(
      leaf.serves.begin(), leaf.serves.end(),
      [&](const ShardPlan* shard) { return CanEjectFrom(*shard, table, now); });
  if (!may_eject) {
    return false;
  }
  const std::uint32_t doublings =
      std::min(leaf.ejections_in_row, kMaxDoublings);
  leaf.ejected_until = now + kInitialEjection * (1U << doublings);
  ++leaf.ejections_in_row;
  // One more failure after the ejection ends ejects the leaf again.
  leaf.failures_in_row = kFailuresToEject - 1;
  return true;
}

void EjectionPolicy::OnShed(LeafRecord& leaf, TimePoint now) {
  const std::uint32_t doublings = std::min(leaf.sheds_in_row, kMaxDoublings);
  leaf.ejected_until = std::max(leaf.ejected_until,
                                now + kInitialShedEjection * (1U << doublings));
  ++leaf.sheds_in_row;
}

void EjectionPolicy::OnSuccess(LeafRecord& leaf) {
  leaf.sheds_in_row = 0;
  leaf.failures_in_row = 0;
  leaf.ejections_in_row = 0;
  leaf.ejected_until = TimePoint{};
}

}  // namespace bramleyspoke
