#include "request/leaf_slowness.h"

#include <algorithm>
#include <cmath>

namespace bramleyspoke {

void LeafSlowness::Record(double multiple, TimePoint now) {
  m_samples[m_next] = multiple;
  m_next = (m_next + 1) % kSamples;
  m_recorded_at = now;
}

void LeafSlowness::RecordAtLeast(double multiple, TimePoint now) {
  Record(std::max(multiple, At(now)), now);
}

double LeafSlowness::At(TimePoint now) const {
  const double lowest = *std::min_element(m_samples.begin(), m_samples.end());
  if (lowest <= 1) {
    return lowest;
  }
  const double age =
      std::chrono::duration<double>(now - m_recorded_at) / kDecayTime;
  return 1 + (lowest - 1) * std::exp(-age);
}

}  // namespace bramleyspoke
