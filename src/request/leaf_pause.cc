#include "request/leaf_pause.h"

#include <algorithm>

namespace bramleyspoke {
namespace {

// More attempts in flight than a share ever has.
constexpr std::uint32_t kMaxReturned = 1024;

// A number from 0 to 1 that depends on every nanosecond of `time`, so that it
// differs between daemons.
double HashToFraction(TimePoint time) {
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15U;
  const auto ticks =
      static_cast<std::uint64_t>(time.time_since_epoch().count());
  return static_cast<double>((ticks * kMultiplier) >> 32U) / 4294967296.0;
}

}  // namespace

void LeafPause::OnAnnounced(Duration pause, TimePoint now) {
  m_asked_at = now;
  const Duration bounded = std::min(pause, kMaxPause);
  const auto spread =
      std::min(std::chrono::duration_cast<Duration>(bounded * kSpreadFraction),
               kMaxSpread);
  m_end = std::max(m_end, now + bounded +
                              std::chrono::duration_cast<Duration>(
                                  spread * HashToFraction(now)));
  m_returned = 1;
}

// An answer to an attempt from before the pause says nothing about the leaf
// after it.
void LeafPause::OnAnswered(TimePoint sent) {
  if (!m_returned || sent < m_end) {
    return;
  }
  *m_returned *= 2;
  if (*m_returned > kMaxReturned) {
    m_returned.reset();
  }
}

std::uint32_t LeafPause::AttemptLimit(std::uint32_t share) const {
  return std::min(share, m_returned.value_or(share));
}

}  // namespace bramleyspoke
