#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "connection/http_server.h"
#include "connection/leaf_exchanges.h"
#include "connection/peer.h"
#include "connection/relay_protocol.h"
#include "request/relay_engine.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// A relayed request that ended, as metrics and the log see it.
struct RelayEnd {
  std::string_view request_id;
  /// Null if no route was found.
  const Route* route = nullptr;
  std::uint64_t version = 0;
  int status = 0;
  Duration taken{0};
  /// Until its answer was due.
  Duration time_for_answer{0};
  std::size_t missing_shards = 0;
  /// Null if it never came to the engine.
  const RelayOutcome* outcome = nullptr;
  std::optional<RelayRefusal> refusal;
  /// Asked by another daemon for its caller.
  bool is_for_peer = false;
};

/// Hears of what a `RelayFront` did; on its loop.
class RelayObserver {
 public:
  virtual ~RelayObserver() = default;
  virtual void OnRequestEnd(const RelayEnd& end) = 0;
  virtual void OnSendFailed(std::string_view request_id,
                            const RelaySendEnd& send) = 0;
  /// A leaf ended while it ran what has this fingerprint.
  virtual void OnLeafCrash(std::uint64_t fingerprint) = 0;
};

/// Relays callers' requests: sockets on one side, `RelayEngine` on the other.
///
/// Used on the loop's thread only.
class RelayFront final : public HttpHandler {
 public:
  /// Kept back from the caller's time for the way of the answer.
  static constexpr Duration kAnswerMargin = std::chrono::milliseconds(40);
  /// Way to the caller and back, where the connection does not tell.
  static constexpr Duration kDefaultRoundTrip = std::chrono::milliseconds(6);
  /// Kept of the target latency for what comes late: timers, queues, the
  /// caller's own reading.
  static constexpr Duration kTargetMargin = std::chrono::milliseconds(4);

  RelayFront(EventLoop& loop,
             const RelayProtocol& protocol,
             const Locality& locality,
             const RepeatAllowance& repeats,
             PeerNetwork& peers,
             RelayObserver& observer);
  ~RelayFront() override;

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

  /// Serves a peer's query; returns what to call if the peer gives up.
  std::function<void()> ServePeer(ShardQuery query,
                                  std::function<void(ShardAnswer)> reply);
  /// Ends all calls to peers.
  void DropPeerCalls() { m_peer_calls.clear(); }

  void SetTable(std::shared_ptr<const RouteTable> table);
  void SetLeafs(const std::vector<LeafRegistration>& leafs);
  /// Holders by region, and whether this daemon is one: only then it keeps
  /// connections to leafs.
  void SetHolders(std::map<std::string, std::size_t> by_region, bool is_holder);
  void SetPeers(const std::vector<RelayPeer>& peers);
  /// A peer saw a leaf end while it ran what has this fingerprint.
  void OnPeerCrash(std::uint64_t fingerprint);
  /// Whether routes may be out of date, so that a missing one proves nothing.
  void SetStale(bool is_stale) { m_is_stale = is_stale; }

  bool IsHolder() const { return m_is_holder; }
  const RouteTable* Table() const { return m_table.get(); }
  const RelayEngine& Engine() const { return m_engine; }
  const LeafExchanges& Exchanges() const { return m_exchanges; }
  std::size_t InFlight() const { return m_open.size(); }

 private:
  struct Open {
    /// Null if a peer asked.
    std::shared_ptr<HttpExchange> exchange;
    HttpRequest peer_request;
    std::function<void(ShardAnswer)> peer_reply;
    std::string request_id;
    std::shared_ptr<const RouteTable> table;
    const Route* route = nullptr;
    TimePoint arrived;
    TimePoint answer_by;

    const HttpRequest& Request() const {
      return exchange ? exchange->Request() : peer_request;
    }
  };

  /// What of a route's target latency passes outside of this daemon.
  static Duration TimeOnTheWay(const HttpExchange& exchange,
                               const Route& route);
  void Submit(std::shared_ptr<HttpExchange> exchange,
              CallerHead head,
              const Route& route);
  void Refuse(HttpExchange& exchange,
              const CallerHead& head,
              const RelayRefusal& refusal);
  void KeepConnections();
  void Apply(RelayActions actions);
  void Send(const RelaySend& send);
  void Delegate(const RelayDelegation& delegation);
  void OnPeerOutcome(SendNumber number,
                     std::size_t shards,
                     ShardOutcome outcome);
  void Finish(RelayFinish finish);
  std::function<void()> GiveUpCall(RelayNumber number);
  std::function<void()> ContinueForPeer(const ShardQuery& query,
                                        std::function<void(ShardAnswer)> reply);
  void AnswerPeer(RelayNumber number, const RelayOutcome& outcome);
  ShardAnswer MakePeerAnswer(const Open& open, const RelayOutcome& outcome);
  void ReportFailedSends();
  void ReportCrashes();
  void ArmTimer();

  EventLoop& m_loop;
  const RelayProtocol& m_protocol;
  RelayObserver& m_observer;
  RelayEngine m_engine;
  LeafExchanges m_exchanges;
  PeerNetwork& m_peers;
  std::unordered_map<SendNumber, std::unique_ptr<PeerCall>> m_peer_calls;
  std::shared_ptr<const RouteTable> m_table;
  bool m_is_stale = false;
  bool m_is_holder = true;
  std::unordered_map<RelayNumber, Open> m_open;
  /// Peers' requests of which a part is still pending, by their id.
  std::unordered_map<std::string, RelayNumber> m_lingering;
  RelayNumber m_last_number = 0;
  std::unique_ptr<Timer> m_timer;
  std::optional<TimePoint> m_timer_at;
  std::shared_ptr<RelayFront*> m_self;
};

}  // namespace bramleyspoke
