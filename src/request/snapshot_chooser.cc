#include "request/snapshot_chooser.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace bramleyspoke {
namespace {

struct Rank {
  /// Share of shards with a reachable replica that takes new attempts and has
  /// the version.
  double reachable = 0;
  /// The same with unreachable replicas included.
  double known = 0;
  std::uint64_t number = 0;

  auto Key() const {
    // Coverage by unreachable leafs counts only if no leaf is reachable.
    const double fallback = reachable > 0 ? 0 : known;
    return std::make_tuple(reachable, fallback, number);
  }
};

std::set<std::uint64_t> VersionNumbersOf(const LayoutPlan& plan,
                                         const ReplicaTable& replica_table) {
  std::set<std::uint64_t> numbers;
  for (const ShardPlan& shard : plan.Shards()) {
    for (const ReplicaPlan& replica : shard.replicas) {
      for (const IndexVersion& version :
           replica_table.At(replica.leaf).versions) {
        if (version.layout == plan.Source().id) {
          numbers.insert(version.number);
        }
      }
    }
  }
  return numbers;
}

Rank RankOf(const IndexVersion& version,
            const LayoutPlan& plan,
            const ReplicaTable& replica_table) {
  std::size_t reachable = 0;
  std::size_t known = 0;
  for (const ShardPlan& shard : plan.Shards()) {
    bool is_known = false;
    bool is_reachable = false;
    for (const ReplicaPlan& replica : shard.replicas) {
      const LeafRecord& leaf = replica_table.At(replica.leaf);
      if (leaf.IsOpen() && leaf.Has(version)) {
        is_known = true;
        is_reachable |= leaf.is_reachable;
      }
    }
    known += is_known ? 1 : 0;
    reachable += is_reachable ? 1 : 0;
  }
  const auto count = static_cast<double>(plan.Shards().size());
  return {static_cast<double>(reachable) / count,
          static_cast<double>(known) / count, version.number};
}

}  // namespace

std::optional<Snapshot> ChooseSnapshot(
    const std::vector<std::shared_ptr<LayoutPlan>>& plans,
    const ReplicaTable& replica_table) {
  std::optional<Snapshot> best;
  Rank best_rank;
  for (const std::shared_ptr<LayoutPlan>& plan : plans) {
    for (const std::uint64_t number : VersionNumbersOf(*plan, replica_table)) {
      const IndexVersion version{number, plan->Source().id};
      const Rank rank = RankOf(version, *plan, replica_table);
      if (rank.known > 0 && (!best || best_rank.Key() < rank.Key())) {
        best = Snapshot{version, plan, std::max(rank.reachable, rank.known)};
        best_rank = rank;
      }
    }
  }
  return best;
}

}  // namespace bramleyspoke
