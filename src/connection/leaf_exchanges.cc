#include "connection/leaf_exchanges.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "connection/event_loop.h"

namespace bramleyspoke {
namespace {

// Keep-alive timeout assumed for a leaf that sends none, and the time for which
// a new pooled connection may be used.
constexpr std::chrono::seconds kDefaultIdleTime{30};

// Age from which a connection is taken as accepted by the leaf.
constexpr std::chrono::milliseconds kAcceptTime{500};

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// The "timeout=N" parameter of the Keep-Alive header, N in seconds.
Duration KeepAliveTimeout(const HttpResponse& response) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view text = HeaderValue(response.headers, "Keep-Alive");
  const std::size_t begin = text.find(kTimeout);
  if (begin == std::string_view::npos) {
    return kDefaultIdleTime;
  }
  const std::string_view number = text.substr(begin + kTimeout.size());
  std::uint32_t seconds = 0;
  const auto read =
      std::from_chars(number.data(), number.data() + number.size(), seconds);
  return read.ec == std::errc() ? std::chrono::seconds(seconds)
                                : Duration(kDefaultIdleTime);
}

}  // namespace

LeafExchanges::LeafExchanges(EventLoop& loop,
                             HttpResponseLimits limits,
                             ReachabilityCallback on_reachable)
    : m_loop(loop),
      m_limits(std::move(limits)),
      m_on_reachable(std::move(on_reachable)),
      m_self(std::make_shared<LeafExchanges*>(this)) {
  m_timer = m_loop.At(Now() + kMaintainInterval, [this] { Maintain(); });
}

LeafExchanges::~LeafExchanges() = default;

void LeafExchanges::Send(ExchangeNumber number, LeafCall call) {
  Exchange& exchange = m_exchanges[number];
  exchange.call = std::move(call);
  Leaf& state = m_leafs[exchange.call.leaf];
  ++state.busy;
  TakeIdle(state, exchange);
  if (exchange.connection.http) {
    Write(number, exchange);
  } else {
    OpenConnection(number);
  }
}

void LeafExchanges::Cancel(ExchangeNumber number) {
  const auto found = m_exchanges.find(number);
  if (found == m_exchanges.end()) {
    return;
  }
  --m_leafs[found->second.call.leaf].busy;
  m_exchanges.erase(found);
}

void LeafExchanges::SetPoolSizes(std::map<Endpoint, std::size_t> leafs) {
  m_pool_sizes = std::move(leafs);
  for (const auto& [endpoint, count] : m_pool_sizes) {
    FillPool(endpoint, m_leafs[endpoint], count);
  }
  for (auto& [endpoint, leaf] : m_leafs) {
    if (!m_pool_sizes.contains(endpoint)) {
      leaf.idle.clear();
    }
  }
  std::erase_if(m_leafs, [&](const auto& row) {
    return !m_pool_sizes.contains(row.first) && row.second.busy == 0 &&
           row.second.opening == 0;
  });
}

void LeafExchanges::CloseUnusedBefore(TimePoint time) {
  for (auto& [endpoint, leaf] : m_leafs) {
    std::erase_if(leaf.idle, [time](const Idle& idle) {
      return idle.connection.opened_at < time;
    });
  }
}

void LeafExchanges::Probe(const Endpoint& leaf) {
  ++m_leafs[leaf].opening;
  OpenPooled(leaf);
}

std::size_t LeafExchanges::OpenConnections() const {
  std::size_t count = m_exchanges.size();
  for (const auto& [endpoint, leaf] : m_leafs) {
    count += leaf.idle.size();
  }
  return count;
}

LeafExchanges::Connection LeafExchanges::MakeConnection(
    std::unique_ptr<HttpConnection> http) {
  http->LimitResponses(m_limits);
  return {std::move(http), Now(), ++m_last_connection, 0, CarriedRequests()};
}

// Leaves `exchange.connection` empty if no idle connection is usable. If there
// are some that have carried the request before, the one that was idle for
// longest is closed, so that the leaf gets no more connections.
void LeafExchanges::TakeIdle(Leaf& leaf, Exchange& exchange) {
  for (auto idle = leaf.idle.end(); idle != leaf.idle.begin();) {
    --idle;
    Connection& connection = idle->connection;
    if (Now() >= idle->usable_until || !connection.http->IsOpen()) {
      idle = leaf.idle.erase(idle);
    } else if (connection.carried.MayCarry(exchange.call.request_id)) {
      exchange.connection = std::move(connection);
      leaf.idle.erase(idle);
      return;
    }
  }
  if (!leaf.idle.empty()) {
    leaf.idle.erase(leaf.idle.begin());
    exchange.is_replacing = true;
    ++m_replaced;
  }
}

// A leaf at its connection limit closes a new connection right away.
bool LeafExchanges::Exchange::IsConnectionAccepted(TimePoint now) const {
  return !IsConnectionNew() || now - connection.opened_at >= kAcceptTime;
}

void LeafExchanges::OpenConnection(ExchangeNumber number) {
  const Exchange& exchange = m_exchanges[number];
  const TimePoint deadline =
      std::min(exchange.call.deadline, Now() + Duration(kConnectTimeout));
  ++m_opened;
  HttpConnection::Open(m_loop, exchange.call.leaf, deadline,
                       [this, weak = std::weak_ptr(m_self),
                        number](std::unique_ptr<HttpConnection> connection) {
                         if (weak.lock()) {
                           OnOpened(number, std::move(connection));
                         }
                       });
}

void LeafExchanges::OnOpened(ExchangeNumber number,
                             std::unique_ptr<HttpConnection> http) {
  const auto found = m_exchanges.find(number);
  if (found == m_exchanges.end()) {
    return;
  }
  if (!http) {
    OnOutcome(number, HttpOutcome{std::nullopt, HttpFailure::kConnect});
    return;
  }
  Exchange& exchange = found->second;
  exchange.connection = MakeConnection(std::move(http));
  if (exchange.is_replacing) {
    exchange.write_timer = m_loop.At(
        Now() + kRefusalTime, [this, number] { WriteUnlessRefused(number); });
  } else {
    Write(number, exchange);
  }
}

void LeafExchanges::WriteUnlessRefused(ExchangeNumber number) {
  Exchange& exchange = m_exchanges.at(number);
  if (exchange.connection.http->IsOpen()) {
    Write(number, exchange);
  } else {
    OnOutcome(number, HttpOutcome{std::nullopt, HttpFailure::kConnect});
  }
}

// While the connection was opened, the leaf may have asked for a pause or have
// begun to leave.
void LeafExchanges::Write(ExchangeNumber number, Exchange& exchange) {
  if (exchange.call.may_send && !exchange.call.may_send()) {
    KeepUnused(exchange);
    OnOutcome(number, HttpOutcome{std::nullopt, HttpFailure::kConnect});
    return;
  }
  if (exchange.call.before_send) {
    exchange.call.before_send(exchange.call.request);
  }
  ++exchange.connection.exchanges;
  exchange.connection.carried.Add(exchange.call.request_id,
                                  exchange.call.deadline, Now());
  exchange.connection.http->SendMatching(
      std::move(exchange.call.request), exchange.call.deadline,
      Matcher(exchange), [this, number](HttpOutcome outcome) {
        OnOutcome(number, std::move(outcome));
      });
}

// Null if the call takes any response.
HttpResponseMatcher LeafExchanges::Matcher(const Exchange& exchange) {
  if (!exchange.call.matches) {
    return nullptr;
  }
  return
      [matches = exchange.call.matches, on_skipped = exchange.call.on_skipped,
       position = exchange.Position()](const HttpResponse& response,
                                       ConnectionUse use) {
        const bool is_awaited = matches(response, use);
        if (!is_awaited && on_skipped) {
          on_skipped(response, position);
        }
        return is_awaited;
      };
}

void LeafExchanges::KeepUnused(Exchange& exchange) {
  if (m_pool_sizes.contains(exchange.call.leaf)) {
    m_leafs[exchange.call.leaf].idle.push_back(Idle{
        std::move(exchange.connection), Now() + Duration(kDefaultIdleTime)});
  }
  exchange.connection = Connection();
}

// Runs in the connection's callback, which must not destroy the connection.
void LeafExchanges::OnOutcome(ExchangeNumber number, HttpOutcome outcome) {
  const auto found = m_exchanges.find(number);
  if (found == m_exchanges.end()) {
    return;
  }
  Exchange exchange = std::move(found->second);
  m_exchanges.erase(found);
  --m_leafs[exchange.call.leaf].busy;
  const bool is_broken =
      !outcome.response && outcome.failure == HttpFailure::kClosed;
  outcome.position = exchange.Position();
  outcome.is_connection_refused = exchange.IsConnectionNew() && is_broken;
  if (exchange.connection.http) {
    if (outcome.response) {
      ReturnToPool(exchange, *outcome.response);
    } else {
      DropLater(std::move(exchange.connection));
    }
  }
  Leaf& leaf = m_leafs[exchange.call.leaf];
  if (m_is_filling && is_broken && exchange.IsConnectionAccepted(Now()) &&
      leaf.opening == 0) {
    ++leaf.opening;
    OpenPooled(exchange.call.leaf);
  }
  exchange.call.done(std::move(outcome));
}

void LeafExchanges::ReturnToPool(Exchange& exchange,
                                 const HttpResponse& response) {
  Leaf& leaf = m_leafs[exchange.call.leaf];
  if (!exchange.connection.http->IsOpen() ||
      !m_pool_sizes.contains(exchange.call.leaf)) {
    DropLater(std::move(exchange.connection));
    return;
  }
  const auto usable = std::chrono::duration_cast<Duration>(
      KeepAliveTimeout(response) * kUsableIdleFraction);
  leaf.idle.push_back(Idle{std::move(exchange.connection), Now() + usable});
  leaf.retry_delay = Duration::zero();
}

// Destroys the connection in a posted call.
void LeafExchanges::DropLater(Connection connection) {
  m_loop.Post([dropped = std::shared_ptr(std::move(connection.http))] {});
}

void LeafExchanges::Maintain() {
  const TimePoint now = Now();
  for (auto& [endpoint, leaf] : m_leafs) {
    const bool is_refused =
        std::any_of(leaf.idle.begin(), leaf.idle.end(), [](const Idle& idle) {
          return !idle.connection.IsUsed() && !idle.connection.http->IsOpen();
        });
    std::erase_if(leaf.idle, [&](const Idle& idle) {
      return now >= idle.usable_until || !idle.connection.http->IsOpen();
    });
    if (is_refused) {
      DelayNextOpen(leaf, now);
    }
    const auto pool_size = m_pool_sizes.find(endpoint);
    if (pool_size != m_pool_sizes.end() && now >= leaf.next_open_time) {
      FillPool(endpoint, leaf, pool_size->second);
    }
  }
  m_timer = m_loop.At(now + kMaintainInterval, [this] { Maintain(); });
}

void LeafExchanges::DelayNextOpen(Leaf& leaf, TimePoint now) {
  leaf.retry_delay =
      std::clamp(leaf.retry_delay * 2, Duration(kInitialRetryDelay),
                 Duration(kMaxRetryDelay));
  leaf.next_open_time = now + leaf.retry_delay;
}

void LeafExchanges::FillPool(const Endpoint& endpoint,
                             Leaf& leaf,
                             std::size_t count) {
  while (m_is_filling && leaf.busy + leaf.idle.size() + leaf.opening < count) {
    ++leaf.opening;
    OpenPooled(endpoint);
  }
}

void LeafExchanges::OpenPooled(const Endpoint& endpoint) {
  ++m_opened;
  const TimePoint began = Now();
  HttpConnection::Open(
      m_loop, endpoint, began + Duration(kConnectTimeout),
      [this, weak = std::weak_ptr(m_self), endpoint,
       began](std::unique_ptr<HttpConnection> connection) {
        if (!weak.lock()) {
          return;
        }
        Leaf& opened = m_leafs[endpoint];
        --opened.opening;
        const bool is_reachable = connection != nullptr;
        if (is_reachable && m_pool_sizes.contains(endpoint)) {
          opened.idle.push_back(Idle{MakeConnection(std::move(connection)),
                                     Now() + Duration(kDefaultIdleTime)});
        }
        m_on_reachable(endpoint, is_reachable, began);
      });
}

}  // namespace bramleyspoke
