#include "request/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace bramleyspoke {
namespace {

// Eight buckets per power of two give quantiles a relative error of at most
// 1/8.
constexpr std::uint64_t kSubBuckets = 8;
constexpr std::uint32_t kSubBits = 3;
constexpr std::uint32_t kMaxSamples = 2048;
constexpr std::uint32_t kMedianInterval = 64;
constexpr double kMedian = 0.5;

std::size_t BucketOf(std::uint64_t us) {
  if (us < kSubBuckets) {
    return static_cast<std::size_t>(us);
  }
  const auto exponent = static_cast<std::uint32_t>(std::bit_width(us)) - 1;
  const std::uint64_t sub = (us >> (exponent - kSubBits)) - kSubBuckets;
  return (exponent - kSubBits + 1) * kSubBuckets + sub;
}

std::uint64_t UpperBoundOf(std::size_t bucket) {
  if (bucket < kSubBuckets) {
    return bucket + 1;
  }
  const std::size_t shift = bucket / kSubBuckets - 1;
  return (kSubBuckets + bucket % kSubBuckets + 1) << shift;
}

double ToMicroseconds(Duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

Duration FromMicroseconds(double us) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::micro>(us));
}

}  // namespace

void LatencyHistogram::Record(Duration latency) {
  const double us = std::max(0.0, ToMicroseconds(latency));
  const std::size_t bucket = BucketOf(static_cast<std::uint64_t>(us));
  ++m_counts[std::min(bucket, kBuckets - 1)];
  m_sum_us += us;
  if (++m_total >= kMaxSamples) {
    HalveCounts();
  }
  if (m_cached_median == Duration::zero() ||
      ++m_samples_since_median == kMedianInterval) {
    m_cached_median = Quantile(kMedian);
    m_samples_since_median = 0;
  }
}

Duration LatencyHistogram::Quantile(double quantile) const {
  if (m_total == 0) {
    return Duration::zero();
  }
  const auto rank = static_cast<std::uint64_t>(std::ceil(quantile * m_total));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += m_counts[bucket];
    if (seen >= std::max<std::uint64_t>(rank, 1)) {
      return std::chrono::microseconds(UpperBoundOf(bucket));
    }
  }
  return std::chrono::microseconds(UpperBoundOf(kBuckets - 1));
}

Duration LatencyHistogram::Mean() const {
  return m_total == 0 ? Duration::zero() : FromMicroseconds(m_sum_us / m_total);
}

void LatencyHistogram::HalveCounts() {
  m_total = 0;
  for (std::uint32_t& count : m_counts) {
    count /= 2;
    m_total += count;
  }
  m_sum_us /= 2;
}

}  // namespace bramleyspoke
