#pragma once

#include <cstddef>
#include <vector>

#include "request/search.h"

namespace bramleyspoke {

class LayoutPlan;

/// Counts each shard of one snapshot once.
class CoverageCounter {
 public:
  explicit CoverageCounter(std::size_t shards) : m_covered(shards, kNotSeen) {}

  /// False, and nothing counted, if the shard has been counted.
  bool Add(std::size_t ordinal, double covered);
  /// Share of all shards that is covered, 0 to 1.
  double Coverage() const;
  /// The shards that are not covered, or not in full.
  std::vector<MissingShard> Missing(const LayoutPlan& plan) const;

 private:
  static constexpr double kNotSeen = -1;

  std::vector<double> m_covered;
};

}  // namespace bramleyspoke
