#pragma once

#include <array>
#include <cstddef>

#include "base/time.h"

namespace bramleyspoke {

/// How many times as long as other leafs one leaf takes for the same work.
///
/// The lowest of the last samples counts: a request that waited for a stall or
/// behind others says little about the leaf's speed, and a leaf that has become
/// slow by a multiple shows it in every sample. Without samples the estimate
/// approaches 1, since a slow leaf gets few requests and may have recovered.
class LeafSlowness {
 public:
  static constexpr std::size_t kSamples = 3;
  /// Time without samples after which a third of the difference to 1 is left.
  static constexpr Duration kDecayTime = std::chrono::seconds(3);

  /// Records the time a request took as a multiple of the usual one.
  void Record(double multiple, TimePoint now);
  /// Records that a request took this multiple or more.
  void RecordAtLeast(double multiple, TimePoint now);
  double At(TimePoint now) const;

 private:
  std::array<double, kSamples> m_samples{1, 1, 1};
  std::size_t m_next = 0;
  TimePoint m_recorded_at;
};

}  // namespace bramleyspoke
