#include "request/leaf_rate_limit.h"

#include <algorithm>

namespace bramleyspoke {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

// A response to an attempt that was sent before the leaf last named a rate may
// be older than that one.
bool LeafRateLimit::OnAnnounced(std::optional<double> rate,
                                TimePoint sent,
                                TimePoint now) {
  if (!rate && (!m_rate || sent < m_named_at)) {
    return false;
  }
  const bool is_changed = rate != m_rate;
  // The requests before the leaf named a rate used what it would have allowed.
  m_tokens = m_rate ? TokensAt(now) : 0;
  m_updated_at = now;
  m_named_at = now;
  m_rate = rate;
  m_tokens = std::min(m_tokens, Capacity());
  return is_changed;
}

void LeafRateLimit::OnSent(TimePoint now) {
  if (m_rate) {
    m_tokens = TokensAt(now) - 1;
    m_updated_at = now;
  }
}

TimePoint LeafRateLimit::NextAt(TimePoint now) const {
  const double missing = 1 - TokensAt(now);
  if (!m_rate || missing <= 0) {
    return now;
  }
  const std::chrono::duration<double> wait(missing / OwnRate());
  return now + std::max(std::chrono::duration_cast<Duration>(wait),
                        Duration(std::chrono::milliseconds(1)));
}

double LeafRateLimit::OwnRate() const {
  return std::max(m_rate.value_or(0), kMinRate) * m_fraction;
}

double LeafRateLimit::Capacity() const {
  return std::max(1.0, OwnRate() * Seconds(kBurstTime));
}

double LeafRateLimit::TokensAt(TimePoint now) const {
  return std::min(Capacity(),
                  m_tokens + OwnRate() * Seconds(now - m_updated_at));
}

}  // namespace bramleyspoke
