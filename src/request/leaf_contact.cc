#include "request/leaf_contact.h"

#include <algorithm>
#include <utility>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr EnumNames<ContactState, 3> kNames{{{
    {ContactState::kInContact, "in_contact"},
    {ContactState::kDoubtful, "doubtful"},
    {ContactState::kCutOff, "cut_off"},
}}};

}  // namespace

std::string_view ToString(ContactState state) {
  return kNames.NameOf(state);
}

void LeafContact::OnSent(TimePoint now) {
  if (!m_check_at) {
    m_check_at = now + kCheckInterval;
  }
}

// Connections that are open may live on while new ones are refused.
void LeafContact::OnProof(ContactProof proof, TimePoint now) {
  if (m_state == ContactState::kCutOff && proof == ContactProof::kAnswer) {
    return;
  }
  m_last_proof = now;
  if (m_state != ContactState::kInContact) {
    SetState(ContactState::kInContact, now);
  }
  m_failed.clear();
  m_probed.clear();
  m_wants_probes = false;
}

void LeafContact::OnFailed(const Endpoint& leaf, TimePoint now) {
  m_failed.insert(leaf);
  DoubtIfFailing(now);
  if (m_state == ContactState::kDoubtful && HaveAllProbesFailed()) {
    SetState(ContactState::kCutOff, now);
    m_probes_due = now + kProbeInterval;
  }
}

void LeafContact::OnProbesSent(const std::vector<Endpoint>& leafs) {
  m_probed.insert(leafs.begin(), leafs.end());
  for (const Endpoint& leaf : leafs) {
    m_failed.erase(leaf);
  }
}

bool LeafContact::HaveAllProbesFailed() const {
  return !m_probed.empty() && std::all_of(m_probed.begin(), m_probed.end(),
                                          [this](const Endpoint& leaf) {
                                            return m_failed.contains(leaf);
                                          });
}

// Time in which the process did not run says nothing about the leafs, so a
// doubt begins again after it.
void LeafContact::Check(const std::vector<OutstandingAttempt>& attempts,
                        TimePoint now) {
  const bool was_paused = m_check_at && now - *m_check_at > kMaxCheckDelay;
  m_check_at.reset();
  if (was_paused) {
    m_observing_since = now;
    m_probes_due = now + kProbeTime;
  }
  AddOverdue(attempts, now);
  DoubtIfFailing(now);
  if (m_state != ContactState::kInContact && now >= m_probes_due) {
    if (m_state == ContactState::kDoubtful && !m_probed.empty()) {
      SetState(ContactState::kCutOff, now);
    }
    m_wants_probes = true;
    m_probes_due = now + kProbeInterval;
  }
  if (!attempts.empty() || IsAnyDoubt()) {
    m_check_at = now + kCheckInterval;
  }
}

void LeafContact::AddOverdue(const std::vector<OutstandingAttempt>& attempts,
                             TimePoint now) {
  for (const OutstandingAttempt& attempt : attempts) {
    const bool is_sent_since_proof =
        !m_last_proof || attempt.sent_at >= *m_last_proof;
    const TimePoint silent_since =
        is_sent_since_proof ? attempt.sent_at : *m_last_proof;
    const Duration allowed =
        is_sent_since_proof ? attempt.overdue_at - attempt.sent_at
                            : std::max(attempt.overdue_at - attempt.sent_at,
                                       Duration(kLongSilence));
    if (now - std::max(silent_since, m_observing_since) > allowed) {
      m_failed.insert(attempt.leaf);
    }
  }
}

void LeafContact::DoubtIfFailing(TimePoint now) {
  if (m_state != ContactState::kInContact ||
      m_failed.size() < kMinFailedLeafs) {
    return;
  }
  if (!m_check_at) {
    m_check_at = now + kCheckInterval;
  }
  if (m_last_proof && now - *m_last_proof < kMinSilence) {
    return;
  }
  SetState(ContactState::kDoubtful, now);
  m_wants_probes = true;
  m_probes_due = now + kProbeTime;
}

bool LeafContact::TakeProbeRequest() {
  return std::exchange(m_wants_probes, false);
}

std::vector<ContactChange> LeafContact::TakeChanges() {
  return std::exchange(m_changes, {});
}

void LeafContact::SetState(ContactState state, TimePoint now) {
  m_state = state;
  const Duration silence = m_last_proof ? now - *m_last_proof : Duration(0);
  m_changes.push_back({state, silence, m_failed.size(), m_probed.size()});
}

}  // namespace bramleyspoke
