#include "request/leaf_contact.h"

#include <algorithm>
#include <utility>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

// Leafs known to be at fault beyond which all are forgotten; those that still
// are cost connections to others once more.
constexpr std::size_t kMaxAtFault = 1000;

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

// While new connections are refused, old ones may live on.
void LeafContact::OnAnswered(TimePoint now) {
  if (m_state != ContactState::kCutOff) {
    OnSign(now);
  }
}

void LeafContact::OnConnected(const Endpoint& leaf, TimePoint now) {
  if (m_at_fault.size() > kMaxAtFault) {
    m_at_fault.clear();
  }
  m_at_fault.insert(m_unconnectable.begin(), m_unconnectable.end());
  m_at_fault.erase(leaf);
  m_unconnectable.clear();
  EndProbing();
  OnSign(now);
}

void LeafContact::OnSign(TimePoint now) {
  m_last_sign = now;
  if (m_state == ContactState::kCutOff) {
    m_returned_at = now;
  }
  if (m_state != ContactState::kInContact) {
    SetState(ContactState::kInContact, now);
  }
  m_failed.clear();
}

void LeafContact::OnFailed(const Endpoint& leaf, TimePoint now) {
  m_failed.insert(leaf);
  DoubtIfFailing(now);
}

void LeafContact::OnConnectFailed(const Endpoint& leaf, TimePoint now) {
  const bool is_probe = m_probed.contains(leaf);
  if (is_probe || !m_at_fault.contains(leaf)) {
    m_unconnectable.insert(leaf);
  }
  OnFailed(leaf, now);
  if (m_unconnectable.size() >= kMinFailedLeafs) {
    RequestProbes(now);
  }
  if (m_state != ContactState::kCutOff && HaveAllProbesFailed()) {
    SetState(ContactState::kCutOff, now);
    m_probes_due = now + kProbeInterval;
  }
}

void LeafContact::RequestProbes(TimePoint now) {
  if (!m_probing) {
    BeginProbing(now);
  }
}

void LeafContact::BeginProbing(TimePoint now) {
  m_probing = true;
  m_wants_probes = true;
  m_probing_since = now;
  m_probes_due = now + kProbeTime;
  if (!m_check_at) {
    m_check_at = now + kCheckInterval;
  }
}

void LeafContact::EndProbing() {
  m_probing = false;
  m_wants_probes = false;
  m_probe_round = 0;
  m_probed.clear();
}

void LeafContact::OnProbesSent(const std::vector<Endpoint>& leafs) {
  ++m_probe_round;
  m_probed.insert(leafs.begin(), leafs.end());
  for (const Endpoint& leaf : leafs) {
    m_unconnectable.erase(leaf);
  }
}

bool LeafContact::HaveAllProbesFailed() const {
  return !m_probed.empty() &&
         std::all_of(m_probed.begin(), m_probed.end(),
                     [this](const Endpoint& leaf) {
                       return m_unconnectable.contains(leaf);
                     });
}

bool LeafContact::HasRecentSign(TimePoint now) const {
  return IsInContact() && m_last_sign && now - *m_last_sign < kMinSilence;
}

// Time in which the process did not run says nothing about the leafs, so a
// doubt begins again after it.
void LeafContact::Check(const std::vector<OutstandingAttempt>& attempts,
                        bool is_any_outstanding,
                        TimePoint now) {
  const bool was_paused = m_check_at && now - *m_check_at > kMaxCheckDelay;
  m_check_at.reset();
  if (was_paused) {
    m_observing_since = now;
    m_probing_since = now;
    m_probes_due = now + kProbeTime;
  }
  AddOverdue(attempts, now);
  DoubtIfFailing(now);
  if (m_probing && now >= m_probes_due) {
    CheckProbes(now);
  }
  if (is_any_outstanding || IsAnyDoubt()) {
    m_check_at = now + kCheckInterval;
  }
}

// Probes without an outcome decide nothing if a leaf has answered meanwhile:
// these leafs may have too many connections to accept.
void LeafContact::CheckProbes(TimePoint now) {
  const bool has_answer = m_last_sign && *m_last_sign >= m_probing_since;
  if (m_state != ContactState::kCutOff && has_answer) {
    m_unconnectable.clear();
    EndProbing();
    return;
  }
  if (m_state != ContactState::kCutOff && !m_probed.empty()) {
    SetState(ContactState::kCutOff, now);
  }
  m_wants_probes = true;
  m_probes_due = now + kProbeInterval;
}

void LeafContact::AddOverdue(const std::vector<OutstandingAttempt>& attempts,
                             TimePoint now) {
  for (const OutstandingAttempt& attempt : attempts) {
    const bool is_sent_since_sign =
        !m_last_sign || attempt.sent_at >= *m_last_sign;
    const TimePoint silent_since =
        is_sent_since_sign ? attempt.sent_at : *m_last_sign;
    const Duration allowed =
        is_sent_since_sign ? attempt.overdue_at - attempt.sent_at
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
  if (HasRecentSign(now)) {
    return;
  }
  SetState(ContactState::kDoubtful, now);
  RequestProbes(now);
}

bool LeafContact::TakeProbeRequest() {
  return std::exchange(m_wants_probes, false);
}

std::vector<ContactChange> LeafContact::TakeChanges() {
  return std::exchange(m_changes, {});
}

void LeafContact::SetState(ContactState state, TimePoint now) {
  m_state = state;
  const Duration silence = m_last_sign ? now - *m_last_sign : Duration(0);
  m_changes.push_back({state, silence, m_failed.size(), m_probed.size()});
}

}  // namespace bramleyspoke
