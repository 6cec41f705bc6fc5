#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "request/crash_ledger.h"
#include "request/leaf_contact.h"
#include "request/leaf_table.h"
#include "request/peer_table.h"
#include "request/relay.h"
#include "request/request_stages.h"
#include "request/silent_connections.h"
#include "request/stop_schedule.h"
#include "request/weighted_round_robin.h"

namespace bramleyspoke {

/// Totals of a `RelayEngine`.
struct RelayCounters {
  std::uint64_t sends = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t delegations = 0;
  /// Delegations for lack of leafs in reach.
  std::uint64_t hand_overs = 0;
  std::uint64_t budget_refusals = 0;
  /// Parts refused as suspected of crashing leafs.
  std::uint64_t crash_refusals = 0;
  /// Parts not sent because their leafs accept requests again later only.
  std::uint64_t leaf_wait_refusals = 0;
  /// Fan-outs refused because too few shards could answer in time.
  std::uint64_t late_refusals = 0;
};

/// Decides for relayed requests which leafs get them, when to retry or hedge,
/// and when an answer is complete enough.
///
/// Does no I/O and reads no clock: events come with their time, and actions are
/// returned to the owner.
class RelayEngine {
 public:
  /// Requests in flight, beyond which new ones are refused.
  static constexpr std::size_t kMaxRequests = 2000;
  /// Parts waiting at one service, beyond which requests to it are refused.
  static constexpr std::size_t kMaxWaitingParts = 200;
  /// Fraction of a delegated part's credit to the retry budget that this daemon
  /// keeps, for retries after the peer is lost. The peer gets the rest, for
  /// retries and hedges at its leafs.
  static constexpr double kDelegatorBudgetShare = 0.15;
  /// Time without a change of a service's leafs after which daemons are assumed
  /// to know the same ones: longer than entries are missing after the store was
  /// unavailable.
  static constexpr Duration kLeafSetSettleTime = std::chrono::seconds(10);
  /// `retry_after` of refusals: when overloaded, and when leafs are unavailable
  /// or too slow.
  static constexpr Duration kOverloadedRetryAfter =
      std::chrono::milliseconds(150);
  static constexpr Duration kUnavailableRetryAfter =
      std::chrono::milliseconds(500);
  /// `retry_after` of requests that arrive too late in a planned stop: other
  /// daemons serve them now.
  static constexpr Duration kStoppingRetryAfter = Duration::zero();

  RelayEngine(const Locality& locality, const RetryAllowance& allowance);
  ~RelayEngine();

  /// A caller's request gets exactly one `RelayFinish`, unless the caller
  /// disconnects first. A peer's request gets one for its first answer and one
  /// for each continuation; if no continuation comes in time, an empty one ends
  /// it.
  RelayActions Submit(RelayNumber number, RelayRequest request, TimePoint now);
  RelayActions OnReply(RelayAttemptNumber number,
                       LeafReply reply,
                       TimePoint now);
  /// Whether the attempt's leaf still wants it; to be asked once a connection
  /// is ready.
  bool MaySend(RelayAttemptNumber number, TimePoint now) const;
  RelayActions OnDelegationReply(RelayAttemptNumber number,
                                 DelegationReply reply,
                                 TimePoint now);
  /// Handles a peer's continuation, which requests the shards that were pending
  /// in the last answer. Returns false if the request is no longer kept.
  /// `OnTimer` must follow, which returns the actions.
  bool Continue(RelayNumber number, TimePoint deadline, TimePoint now);
  RelayActions OnCallerDisconnected(RelayNumber number, TimePoint now);
  RelayActions OnTimer(TimePoint now);
  /// Begins a planned stop: new requests are refused from
  /// `schedule.accept_until` on, and every request is answered by
  /// `schedule.answer_all_by`. One that waits for a leaf is refused as soon as
  /// none could answer it by then, and one that waits for the retry budget at
  /// once.
  RelayActions BeginStop(const StopSchedule& schedule, TimePoint now);

  RelayActions SetTable(std::shared_ptr<const RouteTable> table, TimePoint now);
  RelayActions SetLeafs(const std::vector<LeafRegistration>& leafs,
                        TimePoint now);
  /// A connection to a leaf was accepted or not. `tried_at` is when it was
  /// begun; `now` if empty.
  RelayActions OnReachable(const Endpoint& address,
                           bool is_reachable,
                           TimePoint now,
                           std::optional<TimePoint> tried_at = std::nullopt);
  /// Sets the number of daemons by region, this daemon included. Until others
  /// are known, it takes nothing of the retry allowance's slack.
  void SetDaemons(std::map<std::string, std::size_t> by_region,
                  bool are_known = true) {
    m_leaf_table.SetDaemons(std::move(by_region), are_known);
  }
  void SetPeers(const std::vector<RelayPeer>& peers) {
    m_peers.SetPeers(peers);
  }

  /// Records that a peer saw a leaf crash while it ran a part of a request.
  void OnPeerCrash(const LeafCrash& crash, TimePoint now) {
    m_crashes.OnPeerCrash(crash, now);
  }
  /// Records that a peer found a request to crash leafs.
  void OnPeerSuspect(const CrashSuspect& suspect, TimePoint now) {
    m_crashes.OnPeerSuspect(suspect, now);
  }
  /// Returns the suspect requests found by this daemon since the last call.
  std::vector<CrashSuspect> TakeSuspects() { return m_crashes.TakeSuspects(); }
  /// Returns the crashes seen by this daemon since the last call.
  std::vector<LeafCrash> TakeCrashes() { return m_crashes.TakeCrashes(); }
  /// Returns the changes of the crash evidence since the last call.
  std::vector<CrashEvidenceEvent> TakeCrashEvents() {
    return m_crashes.TakeEvents();
  }

  /// Whether this daemon reaches the leafs.
  ContactState Contact() const { return m_contact.State(); }
  /// Returns the changes of the contact to the leafs since the last call.
  std::vector<ContactChange> TakeContactChanges() {
    return m_contact.TakeChanges();
  }

  /// Returns the changes of what leafs announce since the last call.
  std::vector<LeafNotice> TakeLeafNotices();

  std::optional<TimePoint> NextTimer() const;
  const LeafTable& Leafs() const { return m_leaf_table; }
  const RelayCounters& Counters() const { return m_counters; }
  std::size_t InFlight() const { return m_requests.size(); }
  RequestStages Stages() const;
  /// Recent stalls of these shards' leafs in this daemon's own region.
  std::vector<StallNotice> RecentStalls(const std::vector<std::string>& shards,
                                        TimePoint now);
  /// Returns the attempts and delegations that failed since the last call.
  std::vector<FailedAttempt> TakeFailedAttempts();
  /// Returns the requests that began to wait for the retry budget since the
  /// last call.
  std::vector<HeldRequest> TakeHeldRequests();

 private:
  struct HeldPart;
  struct Part;
  struct Request;
  struct Attempt;
  struct DelegationState;
  /// Indexes of the parts that each peer gets.
  using HandOvers =
      std::map<std::shared_ptr<PeerState>, std::vector<std::size_t>>;

  // Event handling.
  /// Updates the marked requests and returns the event's actions.
  RelayActions FinishEvent();
  Request* FindRequest(RelayNumber number);
  void MarkForUpdate(RelayNumber number) { m_marked_requests.insert(number); }
  void UpdateRequest(Request& request);
  void ScheduleTimer(Request& request);

  // Attempts.
  void AddPart(Request& request, const std::string& service);
  /// Delegates or dispatches all open parts that have not been sent yet.
  void SendParts(Request& request);
  /// Credits a part that this daemon sends or delegates to the service's retry
  /// budget, up to this share of a request.
  void CreditRetryBudget(Part& part, double share);
  bool RefuseIfUnservable(Request& request);
  /// The leafs that could get a new request's parts, here or through a peer.
  static LeafScope FirstScope(const Request& request);
  /// The refusal of a request whose leafs are unavailable or accept no more
  /// requests now.
  RelayRefusal RefusalWithoutLeafs(const Request& request) const;
  bool IsSuspect(const Request& request, const Part& part) const;
  /// Whether the part may run at another leaf, as far as its runs so far do no
  /// harm: it is idempotent or has not run, and is not suspected of crashing
  /// leafs.
  bool MayRunAgain(const Request& request, const Part& part) const;
  /// Whether this daemon may send the part to another leaf, by any way: it may
  /// run again, and not on more leafs than the route allows.
  bool MayReachAnotherLeaf(const Request& request, const Part& part) const;
  LeafChoice SelectLeaf(const Request& request,
                        const Part& part,
                        LeafScope scope = LeafScope::kAny) const;
  /// Starts an attempt for a part, queues the part if all leafs are full,
  /// delays it if the retry budget is exhausted, or fails it if no leaf is
  /// usable.
  void DispatchPart(Request& request, std::size_t index);
  void StartAttempt(Request& request,
                    std::size_t index,
                    const std::shared_ptr<RelayLeaf>& leaf);
  /// When a leaf is to give up an attempt that is sent now.
  TimePoint LeafDeadline(const Request& request) const;
  void Enqueue(Request& request, std::size_t index);
  void Dequeue(Request& request, std::size_t index);
  void DispatchWaiting(RelayService& service);
  void Hedge(Request& request, std::size_t index);
  bool CanTakeHedge(const Request& request, const RelayLeaf& leaf) const;
  std::optional<TimePoint> HedgeTime(const Request& request,
                                     const Part& part,
                                     const Attempt& attempt) const;
  void Retry(Request& request, std::size_t index);

  // Wait for the retry budget.
  /// Credits a share of a request to a service's retry budget.
  void CreditBudget(RelayService& service, double share);
  /// Takes a token for a retry unless the parts that wait before this one need
  /// it.
  bool TakeRetryToken(Part& part);
  /// Lets a part wait for the retry budget, or fails it if that is not refilled
  /// in time for a retry that takes `latency`.
  void HoldOrFail(Request& request, std::size_t index, Duration latency);
  /// Expected time until the part gets a token; empty if it gets none.
  std::optional<Duration> ExpectedHold(const Part& part) const;
  void EndHold(Part& part) const;
  /// Ends the holds of parts that no longer wait.
  void EndOldHolds(Request& request) const;

  // Contact to the leafs.
  std::vector<OutstandingAttempt> OutstandingAttempts() const;
  void CheckContact();
  void SendProbes();
  /// Takes leafs that were found gone during a doubt as lost, if it has ended.
  void ConfirmLeafLosses();
  /// Applies a change of the contact to leafs and requests.
  void ApplyContact();
  /// Gives up attempts that are overdue, except non-idempotent ones.
  void ReleaseSilentAttempts();
  /// Closes open connections if they have gone silent while leafs accept new
  /// ones.
  void CloseSilentConnections();
  void ReleaseAttempt(RelayAttemptNumber number);
  /// Ends the trials of requests that lost attempts to the cut alone.
  void ReleaseTrials();

  // Hand-over of parts whose leafs are out of reach, to a peer.
  /// Whether leafs of the service run but cannot be reached from here.
  bool IsOutOfReach(const RelayService& service) const;
  bool CanHandOver(const Request& request, const Part& part) const;
  /// Marks the part for a hand-over if no leaf can be chosen for it; false if
  /// a leaf can or a hand-over is not possible.
  bool MarkForHandOver(const Request& request, Part& part);
  void HandOverParts(Request& request);
  /// Hands the delegation's open parts over to another peer.
  void HandOverElsewhere(Request& request, RelayAttemptNumber delegation);
  /// Null if no peer reaches the service. `chosen` has the peers that get other
  /// parts of the request.
  std::shared_ptr<PeerState> ChooseHandOverPeer(const RelayService& service,
                                                const HandOvers& chosen);
  std::string RegionOfLeafs(const RelayService& service) const;
  /// Number of attempts that a peer which gets the part now may make.
  std::uint32_t AttemptsToDelegate(const Part& part, const Route& route) const;
  /// Sends parts that a peer did not send to any leaf.
  void SendNotRun(Request& request, const std::vector<std::size_t>& parts);

  // Trials of requests that may crash leafs.
  void BeginTrialIfDoubtful(Request& request);
  static void RecordUnanswered(Request& request,
                               const Attempt& attempt,
                               LeafReplyKind kind);
  static void RecordLostAttempts(Request& request, std::uint32_t count);
  /// Returns false if another attempt of a request on trial is in progress; the
  /// part is then held.
  bool AdmitAttempt(Request& request, Part& part);
  /// Dispatches held parts, or fails them if the trial was lost.
  void ResumeHeldParts(Request& request);
  std::optional<std::size_t> ChooseTrialPart(const Request& request) const;
  void ReleaseHeldParts(Request& request);

  // Delegations to peers.
  /// Delegates parts that have not been sent to leafs here.
  void DelegateParts(Request& request);
  std::vector<PeerLocation> DelegationLocations(const Request& request,
                                                std::size_t index) const;
  void Delegate(Request& request,
                const std::vector<std::size_t>& parts,
                const std::shared_ptr<PeerState>& peer);
  void ContinueDelegation(
      Request& request,
      const std::shared_ptr<const DelegationState>& delegation_state);
  void SendDelegation(Request& request,
                      DelegationState delegation_state,
                      RelayDelegation delegation);
  void ContinuePendingDelegations(Request& request);
  void OnDelegationLost(Request& request, std::size_t index);
  bool AreLeafsSettled(const Part& part, const Route& route) const;
  /// Whether this daemon and a peer may both send the part to leafs, as the
  /// service has no more of them than the route allows.
  static bool IsBoundedByLeafs(const Part& part, const Route& route);
  void ApplyUncovered(
      Request& request,
      const std::shared_ptr<const DelegationState>& delegation_state,
      const UncoveredShard& shard,
      bool is_peer_cut_off);
  void RecordPeerReply(const DelegationState& delegation_state,
                       const DelegationReply& reply);
  void RecordStalls(const DelegationState& delegation_state,
                    const DelegationReply& reply);
  static bool IsAnyCoveredByOther(const Request& request,
                                  const DelegationState& delegation_state,
                                  const DelegationReply& reply);
  static void TakePeerAnswer(Request& request,
                             const DelegationState& delegation_state,
                             DelegationReply& reply);
  void ApplyDelegationReply(Request& request,
                            const DelegationState& delegation_state,
                            RelayAttemptNumber number,
                            DelegationReply reply);

  void RetryIfInTime(Request& request, std::size_t index);

  // Replies.
  /// Whether the leaf takes an attempt for which a connection is ready.
  static bool IsWanted(const RelayLeaf& leaf, TimePoint now);
  void RecordReply(const Attempt& attempt, const LeafReply& reply);
  bool HasExpired(const Attempt& attempt, LeafReplyKind kind) const;
  bool HadTimeToAnswer(const Attempt& attempt) const;
  void AddFailedAttempt(const Attempt& attempt, const LeafReply& reply);
  void RecordContact(const Attempt& attempt, LeafReplyKind kind);
  void RecordCrashEvidence(const Attempt& attempt, const LeafReply& reply);
  void RecordUnansweredAttempt(
      const Attempt& attempt,
      std::optional<std::uint64_t> closed_connection = std::nullopt);
  /// Nothing listens at a leaf's address, as far as this daemon can tell, which
  /// may be at fault itself.
  void RecordLeafLoss(const Endpoint& address);
  void RecordAnnouncement(const Attempt& attempt,
                          const LeafAnnouncement& announcement);
  void AddLeafNotice(LeafNoticeKind kind, const RelayLeaf& leaf);
  void ApplyReply(Request& request, const Attempt& attempt, LeafReply reply);
  void CancelQueuedAttempts(const Request& request, const Part& part);
  /// Marks the part as failed unless an attempt of it is outstanding.
  void FailUnlessOutstanding(Part& part);

  // Planned stop.
  /// Moves the request's times before the end of a planned stop.
  void LimitToStop(Request& request) const;
  bool IsLimitedByStop(const Request& request) const;
  /// Whether a planned stop no longer accepts new requests.
  bool IsPastAcceptance() const {
    return m_stop && m_now >= m_stop->accept_until;
  }
  /// Latest time at which an attempt for a part is likely answered before the
  /// end of a planned stop; empty without one, and if no leaf is available.
  std::optional<TimePoint> LatestSend(const Request& request,
                                      const Part& part) const;
  /// Whether a planned stop ends before an attempt would be answered.
  bool IsTooLateToSend(const Request& request, const Part& part) const;
  /// Ends the parts that wait, if it is too late to send them.
  void EndWaitingParts(Request& request);
  RelayRefusal DeadlineRefusal(const Request& request) const;

  // Completion.
  /// Returns true if the request has ended and was erased.
  bool FinishIfDone(Request& request);
  /// Whether a trial of the request was lost and no leaf has answered it.
  static bool IsTrialLost(const Request& request);
  void FinishSingle(Request& request);
  void FinishFanOut(Request& request);
  /// Returns true if the request has ended and was erased.
  bool AnswerPeer(Request& request);
  /// Erases the request if no continuation came in time; true if it did so.
  bool FinishIfExpired(Request& request);
  void Erase(Request& request);
  void FinishRefused(Request& request, const RelayRefusal& refusal);
  /// The shards that no answer to the delegating peer has included yet.
  static std::vector<UncoveredShard> UncoveredShards(const Request& request);
  void Finish(Request& request, RelayOutcome outcome);
  void FillLogDetails(const Request& request, RelayOutcome& outcome) const;
  Verdict VerdictOfParts(const Request& request) const;
  void CancelAttempts(Request& request);

  LeafTable m_leaf_table;
  PeerTable m_peers;
  CrashLedger m_crashes;
  LeafContact m_contact;
  SilentConnections m_silent_connections;
  ContactState m_applied_contact = ContactState::kInContact;
  /// Leafs found gone while it is doubtful whether this daemon is the cause.
  std::vector<Endpoint> m_doubtful_losses;
  WeightedRoundRobin m_rotation;
  std::unordered_map<RelayNumber, std::unique_ptr<Request>> m_requests;
  std::unordered_map<RelayAttemptNumber, Attempt> m_attempts;
  std::unordered_map<RelayAttemptNumber, DelegationState> m_delegations;
  std::set<std::pair<TimePoint, RelayNumber>> m_timers;
  /// Attempts and delegations to cancel, by time.
  std::set<std::pair<TimePoint, RelayAttemptNumber>> m_cancellations;
  std::vector<FailedAttempt> m_failed_attempts;
  std::vector<LeafNotice> m_leaf_notices;
  std::vector<HeldRequest> m_held_requests;
  RelayCounters m_counters;
  RelayAttemptNumber m_last_attempt = 0;
  std::uint64_t m_last_sequence = 0;

  /// Set once a planned stop has begun.
  std::optional<StopSchedule> m_stop;

  // State of the event being handled.
  TimePoint m_now;
  RelayActions m_actions;
  std::set<RelayNumber> m_marked_requests;
};

}  // namespace bramleyspoke
