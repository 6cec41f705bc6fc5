#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <list>
#include <string>
#include <thread>

#include "base/endpoint.h"

namespace bramleyspoke {

/// Bytes to be sent on a connection.
struct EndlessBytes {
  std::string prefix;
  /// Sent again and again after `prefix`.
  std::string repeated;
  /// Time between two repetitions.
  std::chrono::microseconds pause{0};
};

/// TCP server that sends bytes without end on each connection that has sent it
/// something, until the client closes the connection.
class EndlessServer {
 public:
  explicit EndlessServer(EndlessBytes bytes);
  ~EndlessServer();

  Endpoint Address() const { return m_address; }
  /// Bytes that clients have accepted so far, on all connections.
  std::size_t Sent() const { return m_sent; }
  /// Connections that are open.
  int Open() const { return m_open; }

 private:
  void Accept();
  void Serve(int socket);

  const EndlessBytes m_bytes;
  int m_listener = -1;
  Endpoint m_address;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<std::size_t> m_sent = 0;
  std::atomic<int> m_open = 0;
  std::list<std::thread> m_connections;
  std::thread m_acceptor;
};

/// What a server accepted of `EndlessBytes`.
struct AcceptedBytes {
  std::size_t count = 0;
  /// Whether the server closed the connection within the time.
  bool is_closed = false;
};

/// Connects to `server` and sends bytes without end until the server closes the
/// connection, for `time` at most.
AcceptedBytes SendWithoutEnd(const Endpoint& server,
                             const EndlessBytes& bytes,
                             std::chrono::milliseconds time);

}  // namespace bramleyspoke
