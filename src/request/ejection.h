#pragma once

#include "base/time.h"
#include "request/replica_book.h"

namespace bramleyspoke {

/// Keeps failing leafs out for a while, but never too many of a shard.
class EjectionPolicy {
 public:
  /// Whether the leaf was ejected by this failure.
  static bool OnFailure(LeafState& leaf,
                        const ReplicaBook& book,
                        TimePoint now);
  /// Leaves a leaf that sheds alone for a moment; it would draw all work by
  /// refusing faster than others answer.
  static void OnShed(LeafState& leaf, TimePoint now);
  static void OnSuccess(LeafState& leaf);
  static bool IsEjected(const LeafState& leaf, TimePoint now) {
    return now < leaf.ejected_until;
  }
};

}  // namespace bramleyspoke
