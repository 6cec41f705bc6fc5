#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "request/replica_table.h"
#include "version/manifest.h"

namespace bramleyspoke {

/// A task in a shard's queue, ordered by deadline, then by arrival.
struct WaitingTask {
  TimePoint deadline;
  std::uint64_t sequence = 0;
  std::uint64_t query = 0;

  bool operator<(const WaitingTask& other) const {
    return std::tie(deadline, sequence) <
           std::tie(other.deadline, other.sequence);
  }
};

/// Replica of a shard.
struct ReplicaPlan {
  LeafIndex leaf = 0;
  /// Whether it is in this daemon's region; true if that is unknown.
  bool is_near = true;
};

/// A shard of a layout and the tasks that wait for one of its replicas.
struct ShardPlan {
  std::uint32_t id = 0;
  /// Index in the layout.
  std::uint32_t ordinal = 0;
  std::vector<ReplicaPlan> replicas;
  std::set<WaitingTask> waiting;
};

/// Runtime form of a layout; kept until the last query on it has ended.
class LayoutPlan {
 public:
  /// Replicas beyond this number are not used.
  static constexpr std::size_t kMaxReplicas = 64;

  /// `are_leafs_new`: whether leafs not known to `replica_table` start cold.
  static std::shared_ptr<LayoutPlan> Create(const Layout& layout,
                                            const std::string& region,
                                            bool are_leafs_new,
                                            ReplicaTable& replica_table,
                                            TimePoint now);
  /// Removes the plan's shards from the leafs of `replica_table`.
  void RemoveFromLeafs(ReplicaTable& replica_table);

  const Layout& Source() const { return m_source; }
  std::vector<ShardPlan>& Shards() { return m_shards; }
  const std::vector<ShardPlan>& Shards() const { return m_shards; }

 private:
  explicit LayoutPlan(const Layout& layout) : m_source(layout) {}

  Layout m_source;
  std::vector<ShardPlan> m_shards;
};

}  // namespace bramleyspoke
