#pragma once

#include <cstddef>
#include <vector>

#include "request/search.h"

namespace bramleyspoke {

class LayoutPlan;

/// Coverage of one snapshot by the answers so far; each shard counts once.
class CoverageCounter {
 public:
  explicit CoverageCounter(std::size_t shards)
      : m_covered(shards, kNotCounted) {}

  /// Adds the covered share of a shard, 0 to 1. Returns false and changes
  /// nothing if the shard was added before.
  bool Add(std::size_t ordinal, double covered);
  /// Mean covered share over all shards, 0 to 1.
  double Coverage() const;
  /// Shards that are not fully covered.
  std::vector<MissingShard> Missing(const LayoutPlan& plan) const;

 private:
  static constexpr double kNotCounted = -1;

  std::vector<double> m_covered;
};

}  // namespace bramleyspoke
