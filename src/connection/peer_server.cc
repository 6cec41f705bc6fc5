#include "connection/peer_server.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <utility>

#include "connection/peer_service.h"

namespace bramleyspoke {
namespace {

constexpr std::size_t kMaxConnections = 2000;
constexpr auto kIdleTimeout = 60 * kj::SECONDS;
constexpr auto kIdleCheckInterval = 10 * kj::SECONDS;
constexpr auto kAcceptRetryDelay = 100 * kj::MILLISECONDS;
// 16 MiB. Larger messages are rejected and end the connection.
constexpr std::uint64_t kMaxMessageWords = std::uint64_t{2} << 20U;

capnp::ReaderOptions MessageLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  return options;
}

}  // namespace

class PeerServer::Connection {
 public:
  Connection(KjThread& thread,
             kj::Own<kj::AsyncIoStream> stream,
             PeerHandler& handler)
      : m_activity(std::make_shared<CallActivity>()),
        m_stream(kj::mv(stream)),
        m_network(*m_stream,
                  capnp::rpc::twoparty::Side::SERVER,
                  MessageLimits()),
        m_rpc(capnp::makeRpcServer(
            m_network,
            kj::heap<PeerService>(thread.Queue(),
                                  handler,
                                  thread.Io().provider->getTimer(),
                                  m_activity))) {
    m_activity->last_call_end = thread.Io().provider->getTimer().now();
  }

  kj::Promise<void> OnDisconnect() { return m_network.onDisconnect(); }
  bool IsIdle(kj::TimePoint now) const {
    return m_activity->calls_in_flight == 0 &&
           now - m_activity->last_call_end > kIdleTimeout;
  }

 private:
  std::shared_ptr<CallActivity> m_activity;
  kj::Own<kj::AsyncIoStream> m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

PeerServer::PeerServer(KjThread& thread,
                       kj::Own<kj::ConnectionReceiver> receiver,
                       PeerHandler& handler)
    : m_thread(thread),
      m_receiver(kj::mv(receiver)),
      m_handler(handler),
      m_tasks(*this) {}

PeerServer::~PeerServer() = default;

void PeerServer::Start() {
  m_tasks.add(AcceptLoop());
  m_tasks.add(CloseIdleLoop());
}

// An error of one peer ends only that peer's connection.
void PeerServer::taskFailed(kj::Exception&& /*exception*/) {}

kj::Promise<void> PeerServer::AcceptLoop() {
  return m_receiver->accept().then(
      [this](kj::Own<kj::AsyncIoStream> stream) {
        AddConnection(kj::mv(stream));
        return AcceptLoop();
      },
      [this](kj::Exception&& /*no file descriptors left*/) {
        return m_thread.Io()
            .provider->getTimer()
            .afterDelay(kAcceptRetryDelay)
            .then([this] { return AcceptLoop(); });
      });
}

void PeerServer::AddConnection(kj::Own<kj::AsyncIoStream> stream) {
  if (m_connections.size() >= kMaxConnections) {
    return;
  }
  const std::uint64_t connection_id = m_next_connection_id++;
  auto connection =
      std::make_unique<Connection>(m_thread, kj::mv(stream), m_handler);
  m_tasks.add(connection->OnDisconnect().then([this, connection_id] {
    m_tasks.add(kj::evalLater(
        [this, connection_id] { m_connections.erase(connection_id); }));
  }));
  m_connections.emplace(connection_id, std::move(connection));
}

kj::Promise<void> PeerServer::CloseIdleLoop() {
  return m_thread.Io()
      .provider->getTimer()
      .afterDelay(kIdleCheckInterval)
      .then([this] {
        CloseIdle();
        return CloseIdleLoop();
      });
}

void PeerServer::CloseIdle() {
  const kj::TimePoint now = m_thread.Io().provider->getTimer().now();
  for (auto entry = m_connections.begin(); entry != m_connections.end();) {
    entry = entry->second->IsIdle(now) ? m_connections.erase(entry)
                                       : std::next(entry);
  }
}

}  // namespace bramleyspoke
