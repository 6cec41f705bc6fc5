#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "connection/http_server.h"
#include "connection/leaf_exchanges.h"
#include "connection/peer.h"
#include "connection/relay_protocol.h"
#include "process/unrouted_requests.h"
#include "request/relay_engine.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Summary of a finished relayed request, for metrics and the log.
struct RelayEnd {
  std::string_view request_id;
  /// Null if no route was found.
  const Route* route = nullptr;
  std::uint64_t version = 0;
  int status = 0;
  Duration taken{0};
  /// How long a peer's request had waited for this daemon when it was handled.
  Duration waited{0};
  /// From the arrival of the request to the time its answer was due.
  Duration time_for_answer{0};
  std::size_t missing_shards = 0;
  /// Null if the request was not submitted to the engine.
  const RelayOutcome* outcome = nullptr;
  std::optional<RelayRefusal> refusal;
  /// Time since the store last showed that the routes are current; empty if it
  /// has not.
  std::optional<Duration> routes_unconfirmed;
  /// Whether another daemon delegated the request.
  bool is_for_peer = false;
  /// Fingerprint of the request's content; 0 without a route.
  std::uint64_t fingerprint = 0;
  /// Fingerprint of all requests that differ from it in their query only; 0
  /// without a route.
  std::uint64_t resource = 0;
};

/// Receives the events of a `RelayFront`; called on its loop.
class RelayObserver {
 public:
  virtual ~RelayObserver() = default;
  virtual void OnRequestEnd(const RelayEnd& end) = 0;
  virtual void OnAttemptFailed(std::string_view request_id,
                               const FailedAttempt& send) = 0;
  /// A request begins to wait for the retry budget.
  virtual void OnRequestHeld(std::string_view request_id,
                             const HeldRequest& held) = 0;
  virtual void OnResponseSkipped(const SkippedResponse& response) = 0;
  /// A leaf crashed while it ran this part of a request.
  virtual void OnLeafCrash(const LeafCrash& crash) = 0;
  virtual void OnCrashEvidence(const CrashEvidenceEvent& event) = 0;
  /// A leaf announced something else than before.
  virtual void OnLeafNotice(const LeafNotice& notice) = 0;
  /// This daemon doubts, has lost or has regained its contact to the leafs.
  virtual void OnContactChange(const ContactChange& change) = 0;
  /// Open connections to leafs have gone silent and are closed.
  virtual void OnConnectionsSilent() = 0;
  /// A request waits until the store shows whether the routes are current.
  virtual void OnRoutesDoubted() = 0;
  /// A peer that the store is available to has newer routes.
  virtual void OnNewerRoutes(const Endpoint& peer, std::uint64_t version) = 0;
  /// This daemon found a request to crash leafs.
  virtual void OnSuspectFound(const CrashSuspect& suspect) = 0;
};

/// Connects the sockets of callers, leafs and peers to a `RelayEngine`, which
/// relays callers' requests.
///
/// Used on the loop's thread only.
class RelayFront final : public HttpHandler {
 public:
  /// Part of the caller's timeout, at most half of it, reserved for the network
  /// latency of the answer.
  static constexpr Duration kAnswerMargin = std::chrono::milliseconds(40);
  /// Assumed round-trip time to the caller if the connection reports none.
  static constexpr Duration kDefaultRoundTrip = std::chrono::milliseconds(6);
  /// Part of the target latency reserved for delays of timers and queues and
  /// for the caller to read the answer.
  static constexpr Duration kTargetMargin = std::chrono::milliseconds(4);

  RelayFront(EventLoop& loop,
             const RelayProtocol& protocol,
             const Locality& locality,
             const RetryAllowance& repeats,
             const HttpResponseLimits& leaf_responses,
             PeerNetwork& peers,
             RelayObserver& observer);
  ~RelayFront() override;

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

  /// Serves a peer's query; returns a function that cancels it.
  std::function<void()> ServePeer(ShardQuery query,
                                  std::function<void(ShardAnswer)> reply);
  /// Begins a planned stop: new requests are refused and others answered at the
  /// times of `schedule`, except those that are held for lack of a route.
  void BeginStop(const StopSchedule& schedule);
  /// Refuses the requests that are held for lack of a route.
  void RefuseHeld();
  /// Cancels all calls to peers.
  void CancelPeerCalls() { m_peer_calls.clear(); }

  void SetTable(std::shared_ptr<const RouteTable> table);
  void SetLeafs(const std::vector<LeafRegistration>& leafs);
  /// Sets the number of holders by region, and whether this daemon is one. Only
  /// holders keep connections to leafs.
  void SetHolders(std::map<std::string, std::size_t> by_region,
                  bool are_daemons_known,
                  bool is_holder);
  void SetPeers(const std::vector<RelayPeer>& peers);
  /// A peer reported that a leaf crashed while it ran this part of a request.
  void OnPeerCrash(const LeafCrash& crash);
  /// A daemon found a request to crash leafs.
  void OnPeerSuspect(const CrashSuspect& suspect);
  /// Sets whether the routes may be out of date. If so, a request without a
  /// matching route is refused as not ready, since its route may exist.
  void SetStale(bool is_stale) { m_is_stale = is_stale; }
  /// The store has shown that the routes were current at `at`.
  void OnRoutesConfirmed(TimePoint at);
  std::optional<Duration> RoutesUnconfirmed(TimePoint now) const;

  bool IsHolder() const { return m_is_holder; }
  const RouteTable* Table() const { return m_table.get(); }
  const RelayEngine& Engine() const { return m_engine; }
  const LeafExchanges& Exchanges() const { return m_exchanges; }
  std::size_t InFlight() const { return m_in_flight.size(); }

 private:
  /// Id of a caller's request, and the delegating daemon's number for the
  /// delegation.
  using PeerDelegation = std::pair<std::string, std::uint64_t>;

  struct RequestInFlight {
    /// Null if the request came from a peer.
    std::shared_ptr<HttpExchange> exchange;
    HttpRequest peer_request;
    std::uint64_t delegation = 0;
    std::function<void(ShardAnswer)> peer_reply;
    std::string request_id;
    std::shared_ptr<const RouteTable> table;
    const Route* route = nullptr;
    TimePoint arrived;
    /// How long a peer's request waited after it had arrived.
    Duration waited{0};
    TimePoint answer_by;
    std::uint64_t fingerprint = 0;
    std::uint64_t resource = 0;

    PeerDelegation DelegationKey() const { return {request_id, delegation}; }
    const HttpRequest& Request() const {
      return exchange ? exchange->Request() : peer_request;
    }
  };

  /// Part of a route's target latency that is spent outside of this daemon.
  static Duration TimeOutsideDaemon(const HttpExchange& exchange,
                                    const Route& route);
  const Route* FindRoute(const CallerHead& head) const;
  void Submit(TimePoint arrived,
              std::shared_ptr<HttpExchange> exchange,
              CallerHead head,
              const Route& route);
  void Hold(UnroutedRequest request);
  void ArmHoldTimer();
  void RefuseExpired();
  void RefuseNotReady(const std::vector<UnroutedRequest>& held);
  void RefuseNotReady(HttpExchange& exchange, const CallerHead& head);
  void RefuseStopping(HttpExchange& exchange, const CallerHead& head);
  void AnswerNoRoute(HttpExchange& exchange, const CallerHead& head);
  void Refuse(HttpExchange& exchange,
              const CallerHead& head,
              const RelayRefusal& refusal);
  void UpdatePoolSizes();
  void Apply(RelayActions actions);
  void Send(const RelayAttempt& send);
  void Delegate(const RelayDelegation& delegation);
  void OnPeerOutcome(RelayAttemptNumber number,
                     const Endpoint& peer,
                     std::size_t shards,
                     ShardOutcome outcome);
  void Finish(RelayFinish finish);
  std::function<void()> MakeCancellation(RelayNumber number);
  std::function<void()> ContinueForPeer(const ShardQuery& query,
                                        std::function<void(ShardAnswer)> reply);
  void AnswerPeer(RelayNumber number, const RelayOutcome& outcome);
  ShardAnswer MakePeerAnswer(const RequestInFlight& request,
                             const RelayOutcome& outcome);
  void ReportFailedAttempts();
  void ReportHeldRequests();
  void ReportLeafNotices();
  void ReportContactChanges();
  void ReportCrashes();
  void ArmTimer();

  EventLoop& m_loop;
  const RelayProtocol& m_protocol;
  RelayObserver& m_observer;
  RelayEngine m_engine;
  LeafExchanges m_exchanges;
  PeerNetwork& m_peers;
  std::unordered_map<RelayAttemptNumber, std::unique_ptr<PeerCall>>
      m_peer_calls;
  std::shared_ptr<const RouteTable> m_table;
  bool m_is_stale = false;
  /// Set once a planned stop has begun.
  std::optional<StopSchedule> m_stop;
  UnroutedRequests m_unrouted;
  std::unique_ptr<Timer> m_hold_timer;
  bool m_is_holder = true;
  std::unordered_map<RelayNumber, RequestInFlight> m_in_flight;
  /// Peers' requests that were answered with shards still pending.
  std::map<PeerDelegation, RelayNumber> m_pending_for_peers;
  RelayNumber m_last_number = 0;
  std::unique_ptr<Timer> m_timer;
  std::optional<TimePoint> m_timer_at;
  std::shared_ptr<RelayFront*> m_self;
};

}  // namespace bramleyspoke
