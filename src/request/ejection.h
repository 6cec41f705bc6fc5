#pragma once

#include "base/time.h"
#include "request/replica_table.h"

namespace bramleyspoke {

/// Ejects failing leafs for a limited time. Failures never eject more than half
/// of a shard's replicas, rounded up, nor the last one.
class EjectionPolicy {
 public:
  /// Counts a failure; returns whether it ejected the leaf.
  static bool OnFailure(LeafRecord& leaf,
                        const ReplicaTable& table,
                        TimePoint now);
  /// Ejects, for a short time, a leaf that sheds load, however many are ejected
  /// already. It would otherwise attract all attempts by refusing faster than
  /// others respond.
  static void OnShed(LeafRecord& leaf, TimePoint now);
  static void OnSuccess(LeafRecord& leaf);
  static bool IsEjected(const LeafRecord& leaf, TimePoint now) {
    return now < leaf.ejected_until;
  }
};

}  // namespace bramleyspoke
