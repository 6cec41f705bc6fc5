#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/http_client.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Number of an exchange, given by whoever sends it.
using ExchangeNumber = std::uint64_t;

/// HTTP requests to leafs over kept connections, each one at a time.
///
/// How many run at a leaf is up to the caller. Used on the loop's thread only.
class LeafExchanges {
 public:
  static constexpr Duration kConnectTime = std::chrono::seconds(1);
  /// How often kept leafs without a connection are tried.
  static constexpr Duration kMaintainTime = std::chrono::milliseconds(500);
  /// Idle connections are not used beyond this share of the time that the leaf
  /// keeps them.
  static constexpr double kIdleShare = 0.8;

  /// Pause before a leaf that closed an unused connection gets a new one,
  /// doubled each time: it may have too many.
  static constexpr Duration kFirstPause = std::chrono::seconds(1);
  static constexpr Duration kLongestPause = std::chrono::seconds(8);

  using Reachability = std::function<void(const Endpoint&, bool)>;

  /// `on_reachable` hears whether kept leafs take connections.
  LeafExchanges(EventLoop& loop, Reachability on_reachable);
  ~LeafExchanges();

  /// `done` comes once, unless the exchange is abandoned.
  void Send(ExchangeNumber number,
            const Endpoint& leaf,
            HttpRequest request,
            TimePoint deadline,
            HttpAccepts accepts,
            HttpCallback done);
  /// Closes the exchange's connection; its callback does not come.
  void Cancel(ExchangeNumber number);
  /// How many connections are kept open to which leafs, so that a request
  /// need not wait for one; idle ones to other leafs are closed.
  void SetPoolSizes(std::map<Endpoint, std::size_t> leafs);

  std::size_t OpenConnections() const;
  std::uint64_t Opened() const { return m_opened; }

 private:
  struct Idle {
    std::unique_ptr<HttpConnection> connection;
    TimePoint usable_until;
    bool is_used = false;
  };
  struct Leaf {
    std::vector<Idle> idle;
    std::size_t busy = 0;
    std::size_t opening = 0;
    Duration pause{0};
    TimePoint not_before;
  };
  struct Exchange {
    Endpoint leaf;
    HttpRequest request;
    TimePoint deadline;
    HttpAccepts accepts;
    HttpCallback done;
    std::unique_ptr<HttpConnection> connection;
    bool is_connection_new = false;
  };

  std::unique_ptr<HttpConnection> TakeIdle(Leaf& leaf, bool& is_new);
  void OpenFor(ExchangeNumber number);
  void Write(ExchangeNumber number, Exchange& exchange);
  void OnOutcome(ExchangeNumber number, HttpOutcome outcome);
  void Return(const Endpoint& endpoint,
              std::unique_ptr<HttpConnection> connection,
              const HttpResponse& response);
  void Maintain();
  static void BackOff(Leaf& leaf, TimePoint now);
  void OpenAhead(const Endpoint& endpoint, Leaf& leaf, std::size_t count);
  void OpenOneAhead(const Endpoint& endpoint);

  EventLoop& m_loop;
  Reachability m_on_reachable;
  std::map<Endpoint, Leaf> m_leafs;
  std::map<ExchangeNumber, Exchange> m_exchanges;
  std::map<Endpoint, std::size_t> m_kept;
  std::uint64_t m_opened = 0;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<LeafExchanges*> m_self;
};

}  // namespace bramleyspoke
