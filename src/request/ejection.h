#pragma once

#include "base/time.h"
#include "request/replica_table.h"

namespace bramleyspoke {

/// Ejects failing leafs for a limited time, but never too many of one shard.
class EjectionPolicy {
 public:
  /// Counts a failure; returns whether it ejected the leaf.
  static bool OnFailure(LeafRecord& leaf,
                        const ReplicaTable& table,
                        TimePoint now);
  /// Ejects a leaf that sheds load for a short time. It would otherwise attract
  /// all attempts by refusing faster than others answer.
  static void OnShed(LeafRecord& leaf, TimePoint now);
  static void OnSuccess(LeafRecord& leaf);
  static bool IsEjected(const LeafRecord& leaf, TimePoint now) {
    return now < leaf.ejected_until;
  }
};

}  // namespace bramleyspoke
