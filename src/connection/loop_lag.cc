#include "connection/loop_lag.h"

#include <algorithm>
#include <chrono>

namespace bramleyspoke {
namespace {

Duration Moved(Duration from, Duration to) {
  return from +
         std::chrono::duration_cast<Duration>(LoopLag::kWeight * (to - from));
}

}  // namespace

void LoopLag::Observe(TimePoint due, TimePoint now) {
  const Duration lag = std::max(now - due, Duration::zero());
  m_deviation = Moved(m_deviation, std::chrono::abs(lag - m_mean));
  m_mean = Moved(m_mean, lag);
}

}  // namespace bramleyspoke
