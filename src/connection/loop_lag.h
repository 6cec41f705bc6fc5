#pragma once

#include "base/time.h"

namespace bramleyspoke {

/// How late a loop runs what is due; load: a busy or small VM.
class LoopLag {
 public:
  /// Weight of a new sample.
  static constexpr double kWeight = 0.1;

  /// Something due at `due` runs at `now`.
  void Observe(TimePoint due, TimePoint now);
  /// By how much what comes next may be late: the mean and twice the mean
  /// deviation.
  Duration Expected() const { return m_mean + 2 * m_deviation; }

 private:
  Duration m_mean{0};
  Duration m_deviation{0};
};

}  // namespace bramleyspoke
