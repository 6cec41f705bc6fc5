#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "request/replica_book.h"
#include "version/manifest.h"

namespace bramleyspoke {

/// A shard's task that waits for a slot; earliest deadline first.
struct WaitingTask {
  TimePoint deadline;
  std::uint64_t sequence = 0;
  std::uint64_t query = 0;

  bool operator<(const WaitingTask& other) const {
    return std::tie(deadline, sequence) <
           std::tie(other.deadline, other.sequence);
  }
};

/// A copy of a shard.
struct ReplicaPlan {
  LeafIndex leaf = 0;
  /// In this daemon's region.
  bool is_near = true;
};

/// A shard of a layout, with the tasks that wait for one of its leafs.
struct ShardPlan {
  std::uint32_t id = 0;
  /// Place in the layout.
  std::uint32_t ordinal = 0;
  std::vector<ReplicaPlan> replicas;
  std::set<WaitingTask> waiting;
};

/// A layout as queries run on it; lives until its last query has ended.
class LayoutPlan {
 public:
  /// Replicas beyond this number are not used.
  static constexpr std::size_t kMostReplicas = 64;

  /// `are_leafs_new` when leafs not in the book yet are to start cold.
  static std::shared_ptr<LayoutPlan> Create(const Layout& layout,
                                            const std::string& region,
                                            bool are_leafs_new,
                                            ReplicaBook& book,
                                            TimePoint now);
  /// Takes the plan's shards off the leafs of `book`.
  void Unlink(ReplicaBook& book);

  const Layout& Source() const { return m_source; }
  std::vector<ShardPlan>& Shards() { return m_shards; }
  const std::vector<ShardPlan>& Shards() const { return m_shards; }

 private:
  explicit LayoutPlan(const Layout& layout) : m_source(layout) {}

  Layout m_source;
  std::vector<ShardPlan> m_shards;
};

}  // namespace bramleyspoke
