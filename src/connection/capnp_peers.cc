#include "connection/capnp_peers.h"

#include <kj/async-io.h>
#include <kj/exception.h>

#include <string>
#include <utility>

#include "connection/kj_thread.h"
#include "connection/peer_client.h"
#include "connection/peer_server.h"
#include "connection/socket_address.h"

namespace bramleyspoke {
namespace {

// Time for replies to peers that were made before a stop to be sent.
constexpr Duration kReplySendTime = std::chrono::milliseconds(20);

// Cancellation state of a call; used only on the kj thread.
struct CancelState {
  kj::Own<kj::PromiseFulfiller<void>> fulfiller;
  bool is_cancelled = false;
};

class PostedCall final : public PeerCall {
 public:
  PostedCall(std::shared_ptr<KjQueue> queue, std::shared_ptr<CancelState> state)
      : m_queue(std::move(queue)), m_state(std::move(state)) {}

  ~PostedCall() override {
    m_queue->Post([state = std::move(m_state)] {
      state->is_cancelled = true;
      if (state->fulfiller.get() != nullptr) {
        state->fulfiller->fulfill();
        state->fulfiller = nullptr;
      }
    });
  }

 private:
  std::shared_ptr<KjQueue> m_queue;
  std::shared_ptr<CancelState> m_state;
};

// Posts calls to the client on the kj thread.
class PostedNetwork final : public PeerNetwork {
 public:
  PostedNetwork(std::shared_ptr<KjQueue> queue,
                std::unique_ptr<PeerClient>& client)
      : m_queue(std::move(queue)), m_client(client) {}

  void Gossip(const Endpoint& peer,
              const GossipMessage& message,
              Duration timeout,
              std::function<void(std::optional<GossipMessage>)> done) override {
    m_queue->Post([this, peer, message, timeout, done = std::move(done)] {
      m_client->Gossip(peer, message, timeout, done);
    });
  }

  void PingVia(const Endpoint& peer,
               const Endpoint& target,
               Duration timeout,
               std::function<void(bool)> done) override {
    m_queue->Post([this, peer, target, timeout, done = std::move(done)] {
      m_client->PingVia(peer, target, timeout, done);
    });
  }

  void Forward(const Endpoint& peer,
               const std::string& body,
               Duration timeout,
               std::function<void(ForwardOutcome)> done) override {
    m_queue->Post([this, peer, body, timeout, done = std::move(done)] {
      m_client->Forward(peer, body, timeout, done);
    });
  }

  void FetchParts(const Endpoint& peer,
                  const std::vector<std::string>& hashes,
                  Duration timeout,
                  std::function<void(std::optional<std::vector<std::string>>)>
                      done) override {
    m_queue->Post([this, peer, hashes, timeout, done = std::move(done)] {
      m_client->FetchParts(peer, hashes, timeout, done);
    });
  }

  void FetchKnowledge(
      const Endpoint& peer,
      Duration timeout,
      std::function<void(std::optional<StoreKnowledge>)> done) override {
    m_queue->Post([this, peer, timeout, done = std::move(done)] {
      m_client->FetchKnowledge(peer, timeout, done);
    });
  }

  void WatchStore(const Endpoint& peer,
                  const PeerWatch& watch,
                  Duration timeout,
                  std::function<void(KeyValueChanges)> done) override {
    m_queue->Post([this, peer, watch, timeout, done = std::move(done)] {
      m_client->WatchStore(peer, watch, timeout, done);
    });
  }

  std::unique_ptr<PeerCall> QueryShards(
      const Endpoint& peer,
      const ShardQuery& query,
      std::function<void(ShardOutcome)> done) override {
    auto state = std::make_shared<CancelState>();
    m_queue->Post([this, state, peer, query, done = std::move(done)] {
      if (state->is_cancelled) {
        return;
      }
      auto pair = kj::newPromiseAndFulfiller<void>();
      state->fulfiller = kj::mv(pair.fulfiller);
      m_client->QueryShards(peer, query, kj::mv(pair.promise), done);
    });
    return std::make_unique<PostedCall>(m_queue, std::move(state));
  }

 private:
  std::shared_ptr<KjQueue> m_queue;
  // Set and reset on the kj thread, where the posted calls run.
  std::unique_ptr<PeerClient>& m_client;
};

class CapnpPeersImpl final : public CapnpPeers {
 public:
  CapnpPeersImpl() : m_network(m_thread.Queue(), m_client) {}
  ~CapnpPeersImpl() override { CapnpPeersImpl::Stop(); }

  /// Returns false if `listen` cannot be bound.
  bool Listen(const Endpoint& listen, PeerHandler& handler) {
    bool is_bound = false;
    m_thread.Run([&] {
      is_bound =
          kj::runCatchingExceptions([&] { Bind(listen, handler); }) == nullptr;
    });
    return is_bound;
  }

  void Start() override {
    m_thread.Run([this] { m_server->Start(); });
  }

  void Stop() override {
    m_thread.Stop(kReplySendTime, [this] {
      m_server.reset();
      m_client.reset();
    });
  }

  Endpoint Address() const override { return m_address; }
  PeerNetwork& Network() override { return m_network; }

 private:
  void Bind(const Endpoint& listen, PeerHandler& handler) {
    const SocketAddress address = ToSocketAddress(listen);
    auto receiver = m_thread.Io()
                        .provider->getNetwork()
                        .getSockaddr(&address.storage, address.length)
                        ->listen();
    m_address = {listen.host, static_cast<std::uint16_t>(receiver->getPort())};
    m_server =
        std::make_unique<PeerServer>(m_thread, kj::mv(receiver), handler);
    m_client = std::make_unique<PeerClient>(m_thread);
    m_client->Start();
  }

  KjThread m_thread;
  Endpoint m_address;
  std::unique_ptr<PeerServer> m_server;
  std::unique_ptr<PeerClient> m_client;
  PostedNetwork m_network;
};

}  // namespace

Result<std::unique_ptr<CapnpPeers>> CapnpPeers::Create(const Endpoint& listen,
                                                       PeerHandler& handler) {
  auto peers = std::make_unique<CapnpPeersImpl>();
  if (!peers->Listen(listen, handler)) {
    return Fail("peer_address",
                "an address that can be bound, got " + ToString(listen));
  }
  return std::unique_ptr<CapnpPeers>(std::move(peers));
}

}  // namespace bramleyspoke
