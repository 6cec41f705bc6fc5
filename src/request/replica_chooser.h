#pragma once

#include <cstdint>

#include "base/time.h"
#include "request/layout_plan.h"
#include "request/replica_table.h"

namespace bramleyspoke {

enum class ChoiceKind {
  kReplica,
  /// There are usable replicas, but all their slots are in use: wait.
  kAllBusy,
  /// No replica is usable.
  kNone,
};

struct Choice {
  ChoiceKind kind = ChoiceKind::kNone;
  /// Index among the shard's replicas.
  std::uint32_t replica = 0;
};

/// Requirements on the replica to choose.
struct ChoiceQuery {
  IndexVersion version;
  /// Bit set of replicas that were already tried.
  std::uint64_t tried = 0;
  /// Attempts that this daemon may have in flight at each leaf.
  std::uint32_t slot_share = 1;
  /// Latency assumed for leafs that have not answered yet.
  Duration typical_latency{0};
  /// Whether an ejected leaf may be chosen when there is no other.
  bool may_be_ejected = true;
};

/// Chooses a replica by the power of two choices, from the engine's own
/// observations.
class ReplicaChooser {
 public:
  ReplicaChooser(const ReplicaTable& table, std::uint64_t seed)
      : m_table(table), m_random_state(seed) {}

  Choice Choose(const ShardPlan& shard,
                const ChoiceQuery& query,
                TimePoint now);
  /// Relative cost of an attempt at this replica, for comparison only.
  double CostOf(const ReplicaPlan& replica,
                const ChoiceQuery& query,
                TimePoint now) const;
  /// Uniformly distributed number from 0 to `bound` - 1.
  std::uint32_t Random(std::uint32_t bound);

 private:
  bool ShouldSkipCold(const LeafRecord& leaf, TimePoint now);

  const ReplicaTable& m_table;
  std::uint64_t m_random_state;
};

}  // namespace bramleyspoke
