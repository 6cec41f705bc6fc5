// Watches whether this daemon reaches the leafs at all, and what follows for
// requests in flight.

#include <algorithm>
#include <utility>
#include <vector>

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
  if (m_contact.HasRecentSign(m_now)) {
    m_contact.Check({}, !m_attempts.empty(), m_now);
    ConfirmLeafLosses();
    return;
  }
  const std::vector<OutstandingAttempt> attempts = OutstandingAttempts();
  m_contact.Check(attempts, !attempts.empty(), m_now);
  for (const OutstandingAttempt& attempt : attempts) {
    const TimePoint waiting_since =
        std::max(attempt.sent_at, m_contact.ObservingSince());
    if (m_now - waiting_since > attempt.overdue_at - attempt.sent_at) {
      m_silent_connections.OnSilent(attempt.leaf, waiting_since);
    }
  }
  if (m_silent_connections.IsSuspected(m_now)) {
    m_contact.RequestProbes(m_now);
  }
  ConfirmLeafLosses();
  if (m_contact.State() == ContactState::kCutOff) {
    ReleaseSilentAttempts();
  }
}

void RelayEngine::SendProbes() {
  const std::vector<Endpoint> leafs =
      m_leaf_table.ChooseProbes(kProbes, m_contact.ProbeRound());
  m_contact.OnProbesSent(leafs);
  m_actions.probes.insert(m_actions.probes.end(), leafs.begin(), leafs.end());
}

// Leafs that were found gone meanwhile are the cause themselves.
void RelayEngine::ConfirmLeafLosses() {
  if (m_contact.IsAnyDoubt()) {
    return;
  }
  for (const Endpoint& leaf : std::exchange(m_doubtful_losses, {})) {
    m_crashes.OnUnreachable(leaf, m_now);
  }
}

void RelayEngine::CloseSilentConnections() {
  if (!m_silent_connections.IsSuspected(m_now)) {
    return;
  }
  m_actions.close_unused_before = m_silent_connections.Since();
  m_silent_connections.OnClosed();
  ReleaseSilentAttempts();
}

// Without a peer that reaches leafs there is nothing better than to try them.
void RelayEngine::ApplyContact() {
  m_leaf_table.SetOutOfReach(!m_contact.IsInContact() &&
                             m_peers.IsAnyInContact(m_now));
  const ContactState state = m_contact.State();
  const ContactState before = std::exchange(m_applied_contact, state);
  if (state == before) {
    return;
  }
  if (state == ContactState::kCutOff) {
    m_doubtful_losses.clear();
    m_crashes.OnContactLost(m_contact.LastSign());
    ReleaseSilentAttempts();
    ReleaseTrials();
  }
  if (before == ContactState::kCutOff) {
    m_leaf_table.OnContactRestored();
  }
  if (state == ContactState::kInContact) {
    for (const auto& [name, service] : m_leaf_table.Services()) {
      DispatchWaiting(*service);
    }
  }
}

// Their connections are closed, so that nothing that is held up on the way
// reaches a leaf after the cut.
void RelayEngine::ReleaseSilentAttempts() {
  std::vector<RelayAttemptNumber> silent;
  for (const auto& [number, attempt] : m_attempts) {
    const Duration overdue_after =
        attempt.leaf->load.OverdueAfter(attempt.route_name);
    const Request* request = FindRequest(attempt.request);
    const bool may_end = request == nullptr || request->IsIdempotent();
    if (may_end && m_now - attempt.sent_at > overdue_after) {
      silent.push_back(number);
    }
  }
  for (const RelayAttemptNumber number : silent) {
    ReleaseAttempt(number);
  }
}

void RelayEngine::ReleaseAttempt(RelayAttemptNumber number) {
  const auto found = m_attempts.find(number);
  const Attempt attempt = std::move(found->second);
  m_attempts.erase(found);
  attempt.leaf->load.OnEnded(m_now);
  RecordUnansweredAttempt(attempt);
  m_actions.cancellations.push_back(number);
  Request* request = FindRequest(attempt.request);
  if (request == nullptr) {
    return;
  }
  Part& part = request->parts[attempt.part];
  std::erase(part.outstanding, number);
  part.quota.OnEnded(true);
  if (!part.IsOpen()) {
    return;
  }
  part.verdict = Combine(part.verdict, Verdict::kMayHaveRun);
  // What was sent since the last sign of a leaf has hardly arrived anywhere, so
  // the next attempt adds no load.
  const bool is_sent_into_cut =
      !m_contact.LastSign() || attempt.sent_at >= *m_contact.LastSign();
  part.is_next_attempt_free = part.is_next_attempt_free || is_sent_into_cut;
  MarkForUpdate(attempt.request);
  if (request->request.is_for_peer && !m_contact.IsInContact()) {
    FailUnlessOutstanding(part);
  } else {
    Retry(*request, attempt.part);
  }
}

void RelayEngine::ReleaseTrials() {
  for (const auto& [number, request] : m_requests) {
    const RequestPart part = request->PartAt(*request->parts.front().service);
    if (!request->is_doubtful || m_crashes.IsDoubtful(part, m_now)) {
      continue;
    }
    request->is_doubtful = false;
    request->is_trial_lost = false;
    request->lost_attempts = 0;
    ReleaseHeldParts(*request);
    MarkForUpdate(number);
  }
}

}  // namespace bramleyspoke
