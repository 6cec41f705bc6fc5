#include "request/attempt_quota.h"

#include <algorithm>

namespace bramleyspoke {

// An attempt takes its place before it is sent and gives it back only if the
// leaf did not run it. A delegation takes all places that it allows the peer;
// the peer's final report gives the unused ones back, a lost report none. So
// the places taken, summed over all daemons, never exceed the limit, whatever
// the daemons know of each other.

void AttemptQuota::OnEnded(bool may_have_run) {
  m_outstanding -= std::min(m_outstanding, 1U);
  m_runs += may_have_run ? 1 : 0;
}

void AttemptQuota::OnDelegated(std::uint32_t allowed) {
  OnDelegationLost();
  m_allowed = allowed;
}

// The reports of one delegation contain each other; those of different ones add
// up.
void AttemptQuota::OnPeerReport(std::uint32_t runs, bool is_final) {
  m_reported = std::max(m_reported, runs);
  if (is_final) {
    m_peer_runs += m_reported;
    OnDelegationNotSent();
  }
}

void AttemptQuota::OnDelegationNotSent() {
  m_allowed = 0;
  m_reported = 0;
}

void AttemptQuota::OnDelegationLost() {
  m_lost += m_allowed - std::min(m_allowed, m_reported);
  m_peer_runs += m_reported;
  OnDelegationNotSent();
}

std::uint32_t AttemptQuota::LeftByReports() const {
  return LeftAfter(ReportedRuns());
}

std::uint32_t AttemptQuota::AtPeers() const {
  return m_peer_runs + m_lost + std::max(m_allowed, m_reported);
}

std::uint32_t AttemptQuota::LeftAfter(std::uint32_t at_peers) const {
  const std::uint32_t used = RunsHere() + at_peers;
  return m_limit - std::min(m_limit, used);
}

}  // namespace bramleyspoke
