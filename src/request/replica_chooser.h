#pragma once

#include <cstdint>

#include "base/time.h"
#include "request/layout_plan.h"
#include "request/replica_book.h"

namespace bramleyspoke {

enum class ChoiceKind {
  kReplica,
  /// There are replicas, but their slots are taken: wait.
  kAllBusy,
  /// No replica can take it.
  kNone,
};

struct Choice {
  ChoiceKind kind = ChoiceKind::kNone;
  /// Place among the shard's replicas.
  std::uint32_t replica = 0;
};

/// What is asked of a replica.
struct ChoiceQuery {
  IndexVersion version;
  /// Bit set of replicas that had their try.
  std::uint64_t tried = 0;
  std::uint32_t slot_share = 1;
  /// Latency of leafs that were not seen answering yet.
  Duration typical_latency{0};
  /// Whether an ejected leaf will do when no other is there.
  bool may_be_ejected = true;
};

/// Chooses by power of two choices over the engine's own observations.
class ReplicaChooser {
 public:
  ReplicaChooser(const ReplicaBook& book, std::uint64_t seed)
      : m_book(book), m_state(seed) {}

  Choice Choose(const ShardPlan& shard,
                const ChoiceQuery& query,
                TimePoint now);
  /// What an attempt at this replica is expected to cost; for comparing.
  double CostOf(const ReplicaPlan& replica,
                const ChoiceQuery& query,
                TimePoint now) const;
  /// Evenly from 0 to `bound` - 1.
  std::uint32_t Random(std::uint32_t bound);

 private:
  bool IsHeldBack(const LeafState& leaf, TimePoint now);

  const ReplicaBook& m_book;
  std::uint64_t m_state;
};

}  // namespace bramleyspoke
