// Watches whether this daemon reaches the leafs at all.

#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Leafs to which a connection is tried at a time.
constexpr std::size_t kProbes = 4;

}  // namespace

std::vector<OutstandingAttempt> RelayEngine::OutstandingAttempts() const {
  std::vector<OutstandingAttempt> attempts;
  attempts.reserve(m_attempts.size());
  for (const auto& [number, attempt] : m_attempts) {
    const LeafLoad& load = attempt.leaf->load;
    attempts.push_back(
        {attempt.leaf->registration.address, attempt.sent_at,
         attempt.sent_at + load.OverdueAfter(attempt.route_name)});
  }
  return attempts;
}

void RelayEngine::CheckContact() {
  m_contact.Check(OutstandingAttempts(), m_now);
}

void RelayEngine::SendProbes() {
  const std::vector<Endpoint> leafs = m_leaf_table.ChooseProbes(kProbes);
  m_contact.OnProbesSent(leafs);
  m_actions.probes.insert(m_actions.probes.end(), leafs.begin(), leafs.end());
}

}  // namespace bramleyspoke
