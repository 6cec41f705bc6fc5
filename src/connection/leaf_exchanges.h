#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/carried_requests.h"
#include "connection/http_client.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Number of an exchange, chosen by the user of `LeafExchanges`.
using ExchangeNumber = std::uint64_t;

/// A request to a leaf.
struct LeafCall {
  Endpoint leaf;
  /// Echoed by the leaf; the same in all attempts of a request.
  std::string request_id;
  HttpRequest request;
  TimePoint deadline;
  HttpResponseMatcher matches;
  /// Asked when a connection is ready: the leaf may not want the request any
  /// more. If not, the call ends as not sent.
  std::function<bool()> may_send;
  /// Called just before the request is written, which may be long after the
  /// call was made: sets what depends on the time.
  std::function<void(HttpRequest&)> before_send;
  /// Called with each response for which `matches` is false.
  std::function<void(const HttpResponse&, const ExchangePosition&)> on_skipped;
  HttpCallback done;
};

/// HTTP requests to leafs over pooled connections, each of which carries one
/// request at a time, and no request more than once.
///
/// The number of requests in flight at a leaf is not limited. Used on the
/// loop's thread only.
class LeafExchanges {
 public:
  static constexpr Duration kConnectTimeout = std::chrono::seconds(1);
  /// Interval at which missing pooled connections are opened.
  static constexpr Duration kMaintainInterval = std::chrono::milliseconds(500);
  /// Time for which a new connection that replaces others is unused: a leaf
  /// that accepts no more connections closes it first, unread.
  static constexpr Duration kRefusalTime = std::chrono::milliseconds(20);
  /// Fraction of a leaf's keep-alive timeout for which an idle connection may
  /// be used again.
  static constexpr double kUsableIdleFraction = 0.8;

  /// Delay before the periodic maintenance opens pooled connections to a leaf
  /// that closed an unused connection and so may be at its connection limit.
  /// The delay doubles each time, up to `kMaxRetryDelay`, until a response
  /// arrives.
  static constexpr Duration kInitialRetryDelay = std::chrono::seconds(1);
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(8);

  /// Called with the leaf, whether it accepted the connection, and when the
  /// connection was begun.
  using ReachabilityCallback =
      std::function<void(const Endpoint&, bool, TimePoint)>;

  /// `on_reachable` is called when opening a pooled connection has ended. If a
  /// connection that the leaf had accepted breaks, another one is opened at
  /// once, as the leaf may have crashed.
  LeafExchanges(EventLoop& loop,
                HttpResponseLimits limits,
                ReachabilityCallback on_reachable);
  ~LeafExchanges();

  /// Calls `done` once, unless the exchange is cancelled.
  void Send(ExchangeNumber number, LeafCall call);
  /// Cancels the exchange by closing its connection; `done` is not called.
  void Cancel(ExchangeNumber number);
  /// Sets how many connections are kept open to each leaf, so that a request
  /// need not wait until a connection is opened. Idle connections to other
  /// leafs are closed.
  void SetPoolSizes(std::map<Endpoint, std::size_t> leafs);

  /// Sets whether missing pooled connections are opened.
  void SetPoolFilling(bool is_filling) { m_is_filling = is_filling; }
  /// Closes unused connections that were opened before `time`.
  void CloseUnusedBefore(TimePoint time);
  /// Tries a connection to the leaf and reports whether it was accepted.
  void Probe(const Endpoint& leaf);

  std::size_t OpenConnections() const;
  std::uint64_t Opened() const { return m_opened; }
  /// Connections that were closed because a request was to be repeated that
  /// they had carried.
  std::uint64_t Replaced() const { return m_replaced; }

 private:
  struct Connection {
    std::unique_ptr<HttpConnection> http;
    TimePoint opened_at;
    std::uint64_t number = 0;
    /// Exchanges that were begun on it.
    std::uint64_t exchanges = 0;
    CarriedRequests carried;

    bool IsUsed() const { return exchanges > 0; }
  };
  struct Idle {
    Connection connection;
    TimePoint usable_until;
  };
  struct Leaf {
    std::vector<Idle> idle;
    std::size_t busy = 0;
    std::size_t opening = 0;
    Duration retry_delay{0};
    TimePoint next_open_time;
  };
  struct Exchange {
    LeafCall call;
    Connection connection;
    /// All idle connections had carried the request.
    bool is_replacing = false;
    /// Set while a new connection may still be refused.
    std::unique_ptr<Timer> write_timer;

    ExchangePosition Position() const {
      return {connection.number, connection.exchanges};
    }
    bool IsConnectionNew() const { return connection.exchanges <= 1; }
    bool IsConnectionAccepted(TimePoint now) const;
  };

  Connection MakeConnection(std::unique_ptr<HttpConnection> http);
  void TakeIdle(Leaf& leaf, Exchange& exchange);
  void OpenConnection(ExchangeNumber number);
  void OnOpened(ExchangeNumber number, std::unique_ptr<HttpConnection> http);
  void WriteUnlessRefused(ExchangeNumber number);
  void Write(ExchangeNumber number, Exchange& exchange);
  static HttpResponseMatcher Matcher(const Exchange& exchange);
  void KeepUnused(Exchange& exchange);
  void OnOutcome(ExchangeNumber number, HttpOutcome outcome);
  void ReturnToPool(Exchange& exchange, const HttpResponse& response);
  void DropLater(Connection connection);
  void Maintain();
  static void DelayNextOpen(Leaf& leaf, TimePoint now);
  void FillPool(const Endpoint& endpoint, Leaf& leaf, std::size_t count);
  void OpenPooled(const Endpoint& endpoint);

  EventLoop& m_loop;
  HttpResponseLimits m_limits;
  ReachabilityCallback m_on_reachable;
  std::map<Endpoint, Leaf> m_leafs;
  std::map<ExchangeNumber, Exchange> m_exchanges;
  std::map<Endpoint, std::size_t> m_pool_sizes;
  std::uint64_t m_opened = 0;
  std::uint64_t m_replaced = 0;
  std::uint64_t m_last_connection = 0;
  bool m_is_filling = true;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<LeafExchanges*> m_self;
};

}  // namespace bramleyspoke
