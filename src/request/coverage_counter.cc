#include "request/coverage_counter.h"

#include <algorithm>

#include "request/layout_plan.h"

namespace bramleyspoke {

bool CoverageCounter::Add(std::size_t ordinal, double covered) {
  if (m_covered[ordinal] != kNotCounted) {
    return false;
  }
  // The comparison also turns NaN into 0.
  m_covered[ordinal] = covered > 0 ? std::min(covered, 1.0) : 0;
  return true;
}

double CoverageCounter::Coverage() const {
  if (m_covered.empty()) {
    return 0;
  }
  double sum = 0;
  for (const double covered : m_covered) {
    sum += std::max(0.0, covered);
  }
  return sum / static_cast<double>(m_covered.size());
}

std::vector<MissingShard> CoverageCounter::Missing(
    const LayoutPlan& plan) const {
  std::vector<MissingShard> missing;
  for (std::size_t i = 0; i < m_covered.size(); ++i) {
    if (m_covered[i] < 1) {
      missing.push_back({plan.Shards()[i].id, std::max(0.0, m_covered[i])});
    }
  }
  return missing;
}

}  // namespace bramleyspoke
