#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <memory>

#include "base/endpoint.h"
#include "connection/kj_thread.h"
#include "connection/peer.h"

namespace bramleyspoke {

/// Accepts connections from peers and passes their calls to a `PeerHandler`.
///
/// The server is used only on the kj thread; the handler may reply from any
/// thread.
class PeerServer final : private kj::TaskSet::ErrorHandler {
 public:
  /// `receiver` must already be listening.
  PeerServer(KjThread& thread,
             kj::Own<kj::ConnectionReceiver> receiver,
             PeerHandler& handler);
  ~PeerServer();

  void Start();

 private:
  class Connection;

  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> AcceptLoop();
  void AddConnection(kj::Own<kj::AsyncIoStream> stream);
  kj::Promise<void> CloseIdleLoop();
  void CloseIdle();

  KjThread& m_thread;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  PeerHandler& m_handler;
  std::uint64_t m_next_connection_id = 0;
  std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
  kj::TaskSet m_tasks;
};

}  // namespace bramleyspoke
