#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace bramleyspoke {

/// Histogram of recent latencies in logarithmic buckets. The weight of older
/// samples decays.
class LatencyHistogram {
 public:
  void Record(Duration latency);

  /// Upper bound of the bucket that contains the quantile; 0 without samples.
  Duration Quantile(double quantile) const;
  /// Mean latency; 0 without samples.
  Duration Mean() const;
  /// Median, recomputed at intervals of several samples.
  Duration CachedMedian() const { return m_cached_median; }
  /// Number of samples, with older ones decayed.
  std::uint32_t Samples() const { return m_total; }

 private:
  static constexpr std::size_t kBuckets = 192;

  void HalveCounts();

  std::array<std::uint32_t, kBuckets> m_counts{};
  std::uint32_t m_total = 0;
  double m_sum_us = 0;
  std::uint32_t m_samples_since_median = 0;
  Duration m_cached_median{0};
};

}  // namespace bramleyspoke
