#include "request/layout_plan.h"

#include <algorithm>

namespace bramleyspoke {

std::shared_ptr<LayoutPlan> LayoutPlan::Create(const Layout& layout,
                                               const std::string& region,
                                               bool are_leafs_new,
                                               ReplicaTable& replica_table,
                                               TimePoint now) {
  std::shared_ptr<LayoutPlan> plan(new LayoutPlan(layout));
  // The leafs keep pointers to the shards, so the vector must not reallocate.
  plan->m_shards.resize(layout.shards.size());
  for (std::size_t i = 0; i < layout.shards.size(); ++i) {
    const Shard& source = layout.shards[i];
    ShardPlan& shard = plan->m_shards[i];
    shard.id = source.id;
    shard.ordinal = static_cast<std::uint32_t>(i);
    const std::size_t count = std::min(source.replicas.size(), kMaxReplicas);
    for (std::size_t j = 0; j < count; ++j) {
      const Replica& replica = source.replicas[j];
      const LeafIndex leaf =
          replica_table.FindOrAdd(replica.leaf, are_leafs_new, now);
      replica_table.At(leaf).serves.push_back(&shard);
      const bool is_near = region.empty() || replica.region == region;
      shard.replicas.push_back({leaf, is_near});
    }
  }
  return plan;
}

void LayoutPlan::RemoveFromLeafs(ReplicaTable& replica_table) {
  for (ShardPlan& shard : m_shards) {
    for (const ReplicaPlan& replica : shard.replicas) {
      std::erase(replica_table.At(replica.leaf).serves, &shard);
    }
  }
}

}  // namespace bramleyspoke
