#include "request/silent_connections.h"

#include <algorithm>

namespace bramleyspoke {

void SilentConnections::OnAnswered(TimePoint now) {
  Clear();
  m_answered_at = now;
  m_min_silence = kMinSilence;
}

void SilentConnections::OnSilent(const Endpoint& leaf, TimePoint sent_at) {
  if (m_answered_at && sent_at < *m_answered_at) {
    return;
  }
  m_leafs.insert(leaf);
  m_since = std::min(m_since.value_or(sent_at), sent_at);
}

bool SilentConnections::IsSuspected(TimePoint now) const {
  return m_leafs.size() >= kMinLeafs && now - *m_since >= m_min_silence;
}

// If new connections are silent as well, the work at the leafs may take longer
// than this daemon has seen so far: it must not be given up again and again.
void SilentConnections::OnClosed() {
  Clear();
  m_min_silence = std::min(2 * m_min_silence, kMaxMinSilence);
}

void SilentConnections::Clear() {
  m_leafs.clear();
  m_since.reset();
}

}  // namespace bramleyspoke
