#include "connection/peer_client.h"

#include <arpa/inet.h>
#include <capnp/rpc-twoparty.h>
#include <netinet/in.h>

#include <algorithm>
#include <utility>

#include "base/boot_time.h"
#include "connection/knowledge_messages.h"
#include "connection/peer_messages.h"
#include "connection/socket_address.h"

namespace bramleyspoke {
namespace {

constexpr std::size_t kMaxPooledConnections = 64;
// A connection on which calls have had no reply for this long may be silent for
// good, and gets no further calls.
constexpr auto kSilenceLimit = 1500 * kj::MILLISECONDS;
constexpr auto kIdleTimeout = 10 * kj::SECONDS;
constexpr auto kIdleCheckInterval = 1 * kj::SECONDS;
// 16 MiB.
constexpr std::uint64_t kMaxMessageWords = std::uint64_t{2} << 20U;

capnp::ReaderOptions MessageLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  return options;
}

// RPC state of an established connection.
class Session {
 public:
  explicit Session(kj::Own<kj::AsyncIoStream> stream)
      : m_stream(kj::mv(stream)),
        m_network(*m_stream,
                  capnp::rpc::twoparty::Side::CLIENT,
                  MessageLimits()),
        m_rpc(capnp::makeRpcClient(m_network)),
        m_peer(Bootstrap(m_rpc)) {}

  wire::Peer::Client Peer() { return m_peer; }
  kj::Promise<void> OnDisconnect() { return m_network.onDisconnect(); }

 private:
  using Rpc = capnp::RpcSystem<capnp::rpc::twoparty::VatId>;

  static wire::Peer::Client Bootstrap(Rpc& rpc) {
    capnp::MallocMessageBuilder message;
    auto server = message.getRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(server).castAs<wire::Peer>();
  }

  kj::Own<kj::AsyncIoStream> m_stream;
  capnp::TwoPartyVatNetwork m_network;
  Rpc m_rpc;
  wire::Peer::Client m_peer;
};

}  // namespace

class PeerClient::Connection {
 public:
  Connection(kj::AsyncIoContext& io, const Endpoint& peer)
      : m_last_used(io.provider->getTimer().now()),
        m_connected(Connect(io, peer).fork()) {}

  kj::Promise<void> Connected() { return m_connected.addBranch(); }
  wire::Peer::Client Peer() { return m_session->Peer(); }
  kj::Promise<void> OnDisconnect() { return m_session->OnDisconnect(); }

  void BeginCall(kj::TimePoint now, ReplyTime reply_time) {
    ++m_calls_in_flight;
    if (reply_time == ReplyTime::kMayBeLong) {
      return;
    }
    m_unanswered_since = m_unanswered_since.value_or(now);
  }
  void OnReply() { m_unanswered_since.reset(); }
  void EndCall(kj::TimePoint now) {
    --m_calls_in_flight;
    m_last_used = now;
  }
  /// Whether calls have had no reply for long; those that were cancelled count.
  bool IsSilent(kj::TimePoint now) const {
    return m_unanswered_since && now - *m_unanswered_since > kSilenceLimit;
  }
  bool HasCallsInFlight() const { return m_calls_in_flight > 0; }
  kj::TimePoint LastUsed() const { return m_last_used; }

 private:
  kj::Promise<void> Connect(kj::AsyncIoContext& io, const Endpoint& peer) {
    const SocketAddress address = ToSocketAddress(peer);
    auto target =
        io.provider->getNetwork().getSockaddr(&address.storage, address.length);
    // evalNow turns exceptions, for instance when no file descriptors are left,
    // into a failed promise.
    auto connecting = kj::evalNow([&] { return target->connect(); });
    return connecting.attach(kj::mv(target))
        .then([this](kj::Own<kj::AsyncIoStream> stream) {
          m_session = std::make_unique<Session>(kj::mv(stream));
        });
  }

  std::size_t m_calls_in_flight = 0;
  /// When the first call since the last reply began.
  std::optional<kj::TimePoint> m_unanswered_since;
  kj::TimePoint m_last_used;
  std::unique_ptr<Session> m_session;
  kj::ForkedPromise<void> m_connected;
};

PeerClient::PeerClient(KjThread& thread) : m_thread(thread), m_tasks(*this) {}

PeerClient::~PeerClient() = default;

void PeerClient::Start() {
  m_tasks.add(CloseIdleLoop());
}

// Each call reports its own failure; no other task is expected to fail.
void PeerClient::taskFailed(kj::Exception&& /*exception*/) {}

PeerClient::ConnectionPtr PeerClient::FindOrConnect(const Endpoint& peer) {
  const auto pooled = m_pool.find(peer);
  if (pooled != m_pool.end() && !pooled->second->IsSilent(Now())) {
    return pooled->second;
  }
  if (pooled != m_pool.end()) {
    RemoveFromPool(peer, ConnectionPtr(pooled->second));
  }
  if (m_pool.size() >= kMaxPooledConnections) {
    CloseOldestIdle();
  }
  auto connection = std::make_shared<Connection>(m_thread.Io(), peer);
  m_pool.emplace(peer, connection);
  std::weak_ptr<Connection> weak = connection;
  const auto remove_from_pool = [this, peer, weak] {
    if (const ConnectionPtr closed = weak.lock()) {
      RemoveFromPool(peer, closed);
    }
  };
  m_tasks.add(
      connection->Connected()
          .then([weak]() -> kj::Promise<void> {
            const ConnectionPtr open = weak.lock();
            return open ? open->OnDisconnect() : kj::READY_NOW;
          })
          .then([remove_from_pool] { remove_from_pool(); },
                [remove_from_pool](kj::Exception&&) { remove_from_pool(); }));
  return connection;
}

// Calls in flight keep the connection open until the last of them ends.
void PeerClient::RemoveFromPool(const Endpoint& peer,
                                const ConnectionPtr& connection) {
  const auto pooled = m_pool.find(peer);
  if (pooled != m_pool.end() && pooled->second == connection) {
    m_pool.erase(pooled);
  }
  // Deferred, since the connection must not be destroyed within its own
  // promise.
  m_tasks.add(kj::evalLater([connection] {}));
}

kj::TimePoint PeerClient::Now() {
  return m_thread.Io().provider->getTimer().now();
}

void PeerClient::CloseOldestIdle() {
  auto oldest = m_pool.end();
  for (auto entry = m_pool.begin(); entry != m_pool.end(); ++entry) {
    const bool is_older =
        oldest == m_pool.end() ||
        entry->second->LastUsed() < oldest->second->LastUsed();
    if (!entry->second->HasCallsInFlight() && is_older) {
      oldest = entry;
    }
  }
  if (oldest != m_pool.end()) {
    m_pool.erase(oldest);
  }
}

kj::Promise<void> PeerClient::CloseIdleLoop() {
  return m_thread.Io()
      .provider->getTimer()
      .afterDelay(kIdleCheckInterval)
      .then([this] {
        CloseIdle();
        return CloseIdleLoop();
      });
}

void PeerClient::CloseIdle() {
  const kj::TimePoint now = m_thread.Io().provider->getTimer().now();
  for (auto entry = m_pool.begin(); entry != m_pool.end();) {
    const Connection& connection = *entry->second;
    const bool is_idle = !connection.HasCallsInFlight() &&
                         now - connection.LastUsed() > kIdleTimeout;
    entry = is_idle ? m_pool.erase(entry) : std::next(entry);
  }
}

template <typename Reply, typename Send>
void PeerClient::Call(
    const Endpoint& peer,
    Duration timeout,
    Send send,
    std::function<void(std::optional<Reply>, bool is_sent)> done,
    ReplyTime reply_time) {
  m_tasks.add(SendCall<Reply>(peer, timeout, std::move(send), std::move(done),
                              reply_time));
}

template <typename Reply, typename Send>
kj::Promise<void> PeerClient::SendCall(
    const Endpoint& peer,
    Duration timeout,
    Send send,
    std::function<void(std::optional<Reply>, bool is_sent)> done,
    ReplyTime reply_time) {
  const ConnectionPtr connection = FindOrConnect(peer);
  connection->BeginCall(Now(), reply_time);
  auto is_sent = std::make_shared<bool>(false);
  kj::Timer& timer = m_thread.Io().provider->getTimer();
  kj::Promise<std::optional<Reply>> reply = connection->Connected().then(
      [connection, is_sent, send = std::move(send)]() mutable {
        *is_sent = true;
        return send(connection->Peer());
      });
  auto timed_out = timer.afterDelay(ToKj(timeout)).then([] {
    return std::optional<Reply>();
  });
  // kj would store an lvalue handler by reference, so the handlers passed below
  // are temporaries.
  auto finish = [this, peer, connection, is_sent, &timer,
                 done = std::move(done)](std::optional<Reply> result) {
    connection->EndCall(timer.now());
    if (result) {
      connection->OnReply();
    }
    // Without a reply the connection may be half-open: the next call opens a
    // new one.
    if (!result) {
      RemoveFromPool(peer, connection);
    }
    done(std::move(result), *is_sent);
  };
  return reply.exclusiveJoin(kj::mv(timed_out))
      .then(
          [finish](std::optional<Reply> result) { finish(std::move(result)); },
          [finish](kj::Exception&&) { finish({}); });
}

void PeerClient::Gossip(
    const Endpoint& peer,
    const GossipMessage& message,
    Duration timeout,
    std::function<void(std::optional<GossipMessage>)> done) {
  Call<GossipMessage>(
      peer, timeout,
      [message](wire::Peer::Client server) {
        auto request = server.gossipRequest();
        WriteGossip(message, request.initMessage());
        return request.send().then(
            [](auto&& response) { return ReadGossip(response.getReply()); });
      },
      [done = std::move(done)](std::optional<GossipMessage> reply, bool) {
        done(std::move(reply));
      });
}

void PeerClient::PingVia(const Endpoint& peer,
                         const Endpoint& target,
                         Duration timeout,
                         std::function<void(bool)> done) {
  Call<bool>(
      peer, timeout,
      [target](wire::Peer::Client server) {
        auto request = server.pingViaRequest();
        request.setTarget(ToString(target));
        return request.send().then([](auto&& response) {
          return std::optional<bool>(response.getAlive());
        });
      },
      [done = std::move(done)](std::optional<bool> reply, bool) {
        done(reply.value_or(false));
      });
}

void PeerClient::Forward(const Endpoint& peer,
                         std::string body,
                         Duration timeout,
                         std::function<void(ForwardOutcome)> done) {
  const auto deadline_ms = static_cast<std::uint32_t>(ToMilliseconds(timeout));
  Call<ForwardReply>(
      peer, timeout,
      [body = std::move(body), deadline_ms](wire::Peer::Client server) {
        auto request = server.forwardRequest();
        request.setBody(AsData(body));
        request.setDeadlineMs(deadline_ms);
        return request.send().then([](auto&& response) {
          return std::optional<ForwardReply>(
              ForwardReply{response.getStatus(), FromData(response.getBody())});
        });
      },
      [done = std::move(done)](std::optional<ForwardReply> reply,
                               bool is_sent) {
        ForwardOutcome outcome;
        outcome.result =
            is_sent ? ForwardResult::kLost : ForwardResult::kNotSent;
        if (reply) {
          outcome.result = ForwardResult::kReplied;
          outcome.reply = std::move(*reply);
        }
        done(std::move(outcome));
      });
}

void PeerClient::FetchParts(
    const Endpoint& peer,
    std::vector<std::string> hashes,
    Duration timeout,
    std::function<void(std::optional<std::vector<std::string>>)> done) {
  using Parts = std::vector<std::string>;
  Call<Parts>(
      peer, timeout,
      [hashes = std::move(hashes)](wire::Peer::Client server) {
        auto request = server.fetchPartsRequest();
        WriteTexts(hashes, request.initHashes(hashes.size()));
        return request.send().then([](auto&& response) {
          return std::optional<Parts>(ReadBlobs(response.getParts()));
        });
      },
      [done = std::move(done)](std::optional<Parts> reply, bool) {
        done(std::move(reply));
      });
}

void PeerClient::FetchKnowledge(
    const Endpoint& peer,
    Duration timeout,
    std::function<void(std::optional<StoreKnowledge>)> done) {
  Call<StoreKnowledge>(
      peer, timeout,
      [](wire::Peer::Client server) {
        return server.fetchKnowledgeRequest().send().then([](auto&& response) {
          return std::optional<StoreKnowledge>(
              ReadKnowledge(response.getKnowledge()));
        });
      },
      [done = std::move(done)](std::optional<StoreKnowledge> reply, bool) {
        done(std::move(reply));
      });
}

void PeerClient::WatchStore(const Endpoint& peer,
                            const PeerWatch& watch,
                            Duration timeout,
                            std::function<void(KeyValueChanges)> done) {
  Call<KeyValueChanges>(
      peer, timeout,
      [watch](wire::Peer::Client server) {
        auto request = server.watchStoreRequest();
        request.setEra(watch.era);
        request.setRevision(watch.revision);
        request.setWaitMs(
            static_cast<std::uint32_t>(ToMilliseconds(watch.wait)));
        return request.send().then([](auto&& response) {
          return std::optional<KeyValueChanges>(
              ReadChanges(response.getChanges()));
        });
      },
      [done = std::move(done)](std::optional<KeyValueChanges> reply, bool) {
        done(reply ? std::move(*reply) : KeyValueChanges());
      },
      ReplyTime::kMayBeLong);
}

// Cancellation destroys the call's promise, which notifies the peer; the
// connection then counts the call as ended.
void PeerClient::QueryShards(const Endpoint& peer,
                             const ShardQuery& query,
                             kj::Promise<void> cancelled,
                             std::function<void(ShardOutcome)> done) {
  const ConnectionPtr connection = FindOrConnect(peer);
  auto call = SendCall<ShardAnswer>(
      peer,
      std::max<Duration>(query.deadline - std::chrono::steady_clock::now(),
                         Duration::zero()),
      [query](wire::Peer::Client server) {
        auto request = server.queryShardsRequest();
        // The connection may have taken a while to open.
        WriteShardQuery(query, std::chrono::steady_clock::now(),
                        TimeSinceBoot(), request.initQuery());
        return request.send().then([](auto&& response) {
          return std::optional<ShardAnswer>(
              ReadShardAnswer(response.getAnswer()));
        });
      },
      [done = std::move(done)](std::optional<ShardAnswer> answer,
                               bool is_sent) {
        ShardOutcome outcome;
        outcome.result =
            is_sent ? ForwardResult::kLost : ForwardResult::kNotSent;
        if (answer) {
          outcome.result = ForwardResult::kReplied;
          outcome.answer = std::move(*answer);
        }
        done(std::move(outcome));
      });
  kj::Timer& timer = m_thread.Io().provider->getTimer();
  auto ended_by_cancel = cancelled.then(
      [connection, &timer] { connection->EndCall(timer.now()); });
  m_tasks.add(call.exclusiveJoin(kj::mv(ended_by_cancel)));
}

}  // namespace bramleyspoke
