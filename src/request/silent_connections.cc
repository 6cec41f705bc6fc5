#include "request/silent_connections.h"

#include <algorithm>

namespace bramleyspoke {

void SilentConnections::OnAnswered(TimePoint now) {
  Clear();
  m_answered_at = now;
}

void SilentConnections::OnSilent(const Endpoint& leaf, TimePoint sent_at) {
  if (m_answered_at && sent_at < *m_answered_at) {
    return;
  }
  m_leafs.insert(leaf);
  m_since = std::min(m_since.value_or(sent_at), sent_at);
}

bool SilentConnections::IsSuspected(TimePoint now) const {
  return m_leafs.size() >= kMinLeafs && now - *m_since >= kMinSilence;
}

void SilentConnections::Clear() {
  m_leafs.clear();
  m_since.reset();
}

}  // namespace bramleyspoke
