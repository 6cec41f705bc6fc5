#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"

namespace bramleyspoke {

/// Whether a daemon reaches the leafs at all.
enum class ContactState {
  kInContact,
  /// Several leafs are silent or unreachable and none has answered since.
  kDoubtful,
  /// No leaf can be reached.
  kCutOff,
};

std::string_view ToString(ContactState state);

/// A change of the state; for log and metrics.
struct ContactChange {
  ContactState state = ContactState::kInContact;
  /// Time since a leaf last answered or accepted a connection.
  Duration silence{0};
  /// Leafs that were silent or unreachable since then.
  std::size_t failed_leafs = 0;
  /// Leafs to which a connection was tried since then.
  std::size_t probes = 0;
};

/// An attempt at a leaf that has not ended.
struct OutstandingAttempt {
  Endpoint leaf;
  TimePoint sent_at;
  /// Time after which an answer is overdue.
  TimePoint overdue_at;
};

/// Decides whether this daemon itself has lost its links to the leafs.
///
/// If several leafs fail for one daemon, and none answers or none accepts a
/// connection, the daemon is the likelier cause. Connections to leafs that have
/// answered last then decide: one that is accepted shows that the daemon is in
/// contact.
class LeafContact {
 public:
  /// Number of leafs that must fail, without one that does not, before the
  /// daemon doubts its contact.
  static constexpr std::size_t kMinFailedLeafs = 2;
  /// Answers arrive more often than this while there is traffic.
  static constexpr Duration kMinSilence = std::chrono::milliseconds(50);
  /// Time in which a leaf should accept a connection: several round trips
  /// between regions.
  static constexpr Duration kProbeTime = std::chrono::milliseconds(150);
  /// Interval of probes while the daemon is cut off.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
  /// Interval at which attempts are checked.
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(50);
  /// A check that is late by more than this shows that the process was paused
  /// or had no processor: answers may be waiting to be read.
  static constexpr Duration kMaxCheckDelay = std::chrono::milliseconds(100);
  /// A leaf that has not answered an attempt for this long, sent before
  /// another leaf's answer, counts as failed too.
  static constexpr Duration kLongSilence = std::chrono::milliseconds(500);

  ContactState State() const { return m_state; }
  bool IsInContact() const { return m_state == ContactState::kInContact; }
  /// Whether several leafs have failed since the last sign of one, so that the
  /// cause may be this daemon.
  bool IsAnyDoubt() const {
    return !IsInContact() || m_probing || m_failed.size() >= kMinFailedLeafs;
  }
  /// Whether the daemon was still cut off at `time`: what failed that was begun
  /// then says nothing about the leafs.
  bool IsBeforeReturn(TimePoint time) const {
    return m_returned_at && time < *m_returned_at;
  }
  /// When a leaf last answered or accepted a connection.
  std::optional<TimePoint> LastSign() const { return m_last_sign; }

  /// Records that an attempt was sent to a leaf.
  void OnSent(TimePoint now);
  /// Records that a leaf answered, perhaps on a connection that was open
  /// before a cut.
  void OnAnswered(TimePoint now);
  /// Records that a leaf accepted a connection.
  void OnConnected(const Endpoint& leaf, TimePoint now);
  /// Records that a leaf broke a connection or did not answer.
  void OnFailed(const Endpoint& leaf, TimePoint now);
  /// Records that a leaf accepted no connection.
  void OnConnectFailed(const Endpoint& leaf, TimePoint now);
  /// Records that connections to these leafs are being tried.
  void OnProbesSent(const std::vector<Endpoint>& leafs);
  /// Whether a leaf has answered or accepted a connection so recently that a
  /// check need not look at attempts.
  bool HasRecentSign(TimePoint now) const;
  /// To be called at `NextCheck`, with all attempts that have not ended or,
  /// after a recent sign, with none. `is_any_outstanding`: there are some.
  void Check(const std::vector<OutstandingAttempt>& attempts,
             bool is_any_outstanding,
             TimePoint now);
  /// Empty while there is nothing to check.
  std::optional<TimePoint> NextCheck() const { return m_check_at; }

  /// Has connections tried, unless some are being tried.
  void RequestProbes(TimePoint now);
  /// Since when this process has run without a pause, as far as checks tell.
  TimePoint ObservingSince() const { return m_observing_since; }
  /// Whether connections to some leafs should be tried now; true once for each
  /// occasion.
  bool TakeProbeRequest();
  /// Number of times that probes were requested since one was accepted.
  std::size_t ProbeRound() const { return m_probe_round; }
  /// The changes of the state since the last call.
  std::vector<ContactChange> TakeChanges();

 private:
  void OnSign(TimePoint now);
  void AddOverdue(const std::vector<OutstandingAttempt>& attempts,
                  TimePoint now);
  void DoubtIfFailing(TimePoint now);
  void BeginProbing(TimePoint now);
  void EndProbing();
  bool HaveAllProbesFailed() const;
  void CheckProbes(TimePoint now);
  void SetState(ContactState state, TimePoint now);

  ContactState m_state = ContactState::kInContact;
  std::optional<TimePoint> m_last_sign;
  /// When the daemon was last found to be no longer cut off.
  std::optional<TimePoint> m_returned_at;
  /// Leafs that have failed since the last sign of one.
  std::set<Endpoint> m_failed;
  /// Leafs that have accepted no connection since one did.
  std::set<Endpoint> m_unconnectable;
  /// Leafs that accepted no connection while others did.
  std::set<Endpoint> m_at_fault;
  std::set<Endpoint> m_probed;
  bool m_probing = false;
  bool m_wants_probes = false;
  std::size_t m_probe_round = 0;
  TimePoint m_probing_since;
  TimePoint m_probes_due;
  /// Since when the daemon has been able to see answers without a pause.
  TimePoint m_observing_since;
  std::optional<TimePoint> m_check_at;
  std::vector<ContactChange> m_changes;
};

}  // namespace bramleyspoke
