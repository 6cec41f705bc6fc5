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
#include "request/leaf_book.h"
#include "request/peer_book.h"
#include "request/relay.h"
#include "request/weighted_rotation.h"

namespace bramleyspoke {

/// Totals of a `RelayEngine`.
struct RelayCounters {
  std::uint64_t sends = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t delegations = 0;
  std::uint64_t budget_refusals = 0;
  /// Parts refused as suspected of crashing leafs.
  std::uint64_t crash_refusals = 0;
};

/// Decides for relayed requests which leafs get them, when to retry or hedge,
/// and when an answer is complete enough.
///
/// Does no I/O and reads no clock: events come with their time, and actions are
/// returned to the owner.
class RelayEngine {
 public:
  /// Requests in flight, beyond which new ones are refused.
  static constexpr std::size_t kMostRequests = 2000;
  /// Parts waiting at one service, beyond which requests to it are refused.
  static constexpr std::size_t kMostWaiting = 200;
  /// Fraction of a delegated part's credit to the retry budget that this daemon
  /// keeps, for retries after the peer is lost. The peer gets the rest, for
  /// retries and hedges at its leafs.
  static constexpr double kDelegatorShare = 0.15;
  /// `retry_after` of refusals: when overloaded, and when leafs are unavailable
  /// or too slow.
  static constexpr Duration kRetrySoon = std::chrono::milliseconds(150);
  static constexpr Duration kRetryLater = std::chrono::milliseconds(500);

  RelayEngine(const Locality& locality, const RepeatAllowance& allowance);
  ~RelayEngine();

  /// Each caller's request gets exactly one `RelayFinish`, unless the caller
  /// disconnects first. A peer's request gets one for each continuation, too,
  /// or an empty one when the time for a continuation has passed.
  RelayActions Submit(RelayNumber number, RelayRequest request, TimePoint now);
  RelayActions OnReply(SendNumber number, LeafReply reply, TimePoint now);
  RelayActions OnDelegationReply(SendNumber number,
                                 DelegationReply reply,
                                 TimePoint now);
  /// Handles a peer's continuation, which requests the shards that were pending
  /// in the last answer. Returns false if the request is no longer kept.
  bool Continue(RelayNumber number, TimePoint deadline, TimePoint now);
  RelayActions OnCallerGone(RelayNumber number, TimePoint now);
  RelayActions OnTimer(TimePoint now);

  RelayActions SetTable(std::shared_ptr<const RouteTable> table, TimePoint now);
  RelayActions SetLeafs(const std::vector<LeafRegistration>& leafs,
                        TimePoint now);
  RelayActions OnReachable(const Endpoint& address,
                           bool is_reachable,
                           TimePoint now);
  /// Sets the number of daemons by region, this daemon included.
  void SetDaemons(std::map<std::string, std::size_t> by_region) {
    m_book.SetDaemons(std::move(by_region));
  }
  void SetPeers(const std::vector<RelayPeer>& peers) {
    m_peers.SetPeers(peers);
  }

  /// Records that a peer saw a leaf crash while it ran a request.
  void OnPeerCrash(std::uint64_t fingerprint, TimePoint now) {
    m_crashes.OnPeerCrash(fingerprint, now);
  }
  /// Returns the crashes seen by this daemon since the last call, each as the
  /// fingerprint of the suspect request.
  std::vector<std::uint64_t> TakeCrashes() { return m_crashes.TakeCrashes(); }

  std::optional<TimePoint> NextTimer() const;
  const LeafBook& Book() const { return m_book; }
  const RelayCounters& Counters() const { return m_counters; }
  std::size_t InFlight() const { return m_requests.size(); }
  /// Recent stalls of these shards' leafs in this daemon's own region.
  std::vector<StallNotice> RecentStalls(const std::vector<std::string>& shards,
                                        TimePoint now);
  /// Returns the attempts and delegations that failed since the last call.
  std::vector<RelaySendEnd> TakeFailedSends();

 private:
  struct Part;
  struct Request;
  struct Sending;
  struct Delegated;

  // Event handling.
  RelayActions End();
  Request* Find(RelayNumber number);
  void Touch(RelayNumber number) { m_touched.insert(number); }
  void Settle(Request& request);
  void Schedule(Request& request);

  // Attempts.
  void AddPart(Request& request, const std::string& service);
  bool Refuse(Request& request);
  bool IsSuspect(const Part& part) const;
  LeafChoice ChooseFirst(const Request& request, const Part& part) const;
  void Place(Request& request, std::size_t index);
  void Send(Request& request,
            std::size_t index,
            const std::shared_ptr<RelayLeaf>& leaf);
  void Enqueue(Request& request, std::size_t index);
  void Dequeue(Request& request, std::size_t index);
  void Pump(RelayService& service);
  void Hedge(Request& request, std::size_t index);
  bool CanTakeHedge(const Request& request, const RelayLeaf& leaf) const;
  std::optional<TimePoint> HedgeAt(const Request& request,
                                   const Part& part,
                                   const Sending& sending) const;
  void Retry(Request& request, std::size_t index);

  // Delegations to peers.
  void DelegateParts(Request& request);
  std::vector<PeerPlace> NearerPlaces(const Request& request,
                                      std::size_t index) const;
  void Delegate(Request& request,
                const std::vector<std::size_t>& parts,
                const std::shared_ptr<PeerState>& peer);
  void ContinueDelegation(Request& request,
                          const std::shared_ptr<const Delegated>& delegated);
  void Launch(Request& request,
              Delegated delegated,
              RelayDelegation delegation);
  void AskForPending(Request& request);
  void OnPeerLost(Request& request, std::size_t index);
  static bool MayAskBeside(const Part& part, const Route& route);
  void ApplyUncovered(Request& request,
                      const std::shared_ptr<const Delegated>& delegated,
                      const UncoveredShard& shard);
  void ObservePeer(const Delegated& delegated, const DelegationReply& reply);
  void ObserveStalls(const Delegated& delegated, const DelegationReply& reply);
  void ApplyDelegation(Request& request,
                       const Delegated& delegated,
                       SendNumber number,
                       DelegationReply reply);

  void RetryIfInTime(Request& request, std::size_t index);

  // Replies.
  void Observe(const Sending& sending, const LeafReply& reply);
  void ObserveCrash(const Sending& sending, LeafReplyKind kind);
  void Apply(Request& request,
             std::size_t index,
             const std::shared_ptr<RelayLeaf>& leaf,
             LeafReply reply);
  void CancelLosers(const Request& request, const Part& part);
  void GiveUp(Part& part);

  // Completion.
  bool IsEnded(Request& request);
  void FinishOne(Request& request);
  void FinishMerged(Request& request);
  void AnswerPeer(Request& request);
  bool IsLingeringOver(Request& request);
  void Erase(Request& request);
  void FinishRefused(Request& request,
                     RefusalReason reason,
                     std::optional<Duration> retry_after);
  void Finish(Request& request, RelayOutcome outcome);
  void Explain(const Request& request, RelayOutcome& outcome) const;
  Verdict VerdictOfParts(const Request& request) const;
  void AbandonSends(Request& request);

  LeafBook m_book;
  PeerBook m_peers;
  CrashLedger m_crashes;
  WeightedRotation m_rotation;
  std::unordered_map<RelayNumber, std::unique_ptr<Request>> m_requests;
  std::unordered_map<SendNumber, Sending> m_sendings;
  std::unordered_map<SendNumber, Delegated> m_delegated;
  std::set<std::pair<TimePoint, RelayNumber>> m_timers;
  /// Attempts and delegations to cancel, by time.
  std::set<std::pair<TimePoint, SendNumber>> m_abandons;
  std::vector<RelaySendEnd> m_failed_sends;
  RelayCounters m_counters;
  SendNumber m_last_send = 0;
  std::uint64_t m_last_sequence = 0;

  // State of the event being handled.
  TimePoint m_now;
  RelayActions m_actions;
  std::set<RelayNumber> m_touched;
};

}  // namespace bramleyspoke
