#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace bramleyspoke {

/// Latencies of late, in logarithmic buckets; older ones fade out.
class LatencyHistogram {
 public:
  void Record(Duration latency);

  /// Upper bound of the bucket that holds the quantile; 0 without samples.
  Duration Quantile(double share) const;
  /// 0 without samples.
  Duration Mean() const;
  /// The median as of a few samples ago.
  Duration Typical() const { return m_typical; }
  std::uint32_t Samples() const { return m_total; }

 private:
  static constexpr std::size_t kBuckets = 192;

  void Halve();

  std::array<std::uint32_t, kBuckets> m_counts{};
  std::uint32_t m_total = 0;
  double m_sum_us = 0;
  std::uint32_t m_since_typical = 0;
  Duration m_typical{0};
};

}  // namespace bramleyspoke
