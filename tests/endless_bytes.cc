#include "endless_bytes.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace bramleyspoke {
namespace {

constexpr int kPollMilliseconds = 20;
constexpr std::size_t kSendSize = std::size_t{64} * 1024;

bool WaitFor(int socket, short events) {
  pollfd poll_entry{socket, events, 0};
  return ::poll(&poll_entry, 1, kPollMilliseconds) > 0;
}

// Small repetitions are sent several at a time.
std::string Block(const EndlessBytes& bytes) {
  std::string block = bytes.repeated;
  while (bytes.pause.count() == 0 && block.size() < kSendSize) {
    block += bytes.repeated;
  }
  return block;
}

// Sends on a socket that it does not own.
class Sender {
 public:
  Sender(int socket, const EndlessBytes& bytes)
      : m_socket(socket),
        m_pause(bytes.pause),
        m_block(Block(bytes)),
        m_next(bytes.prefix + m_block) {}

  /// Sends what the socket takes and adds it to `sent`; false once the peer has
  /// closed the connection.
  bool Send(std::atomic<std::size_t>& sent) {
    if (!WaitFor(m_socket, POLLOUT)) {
      return true;
    }
    const auto size =
        ::send(m_socket, m_next.data() + m_offset, m_next.size() - m_offset,
               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size < 0) {
      return errno == EAGAIN;
    }
    m_offset += static_cast<std::size_t>(size);
    sent += static_cast<std::size_t>(size);
    if (m_offset == m_next.size()) {
      m_next = m_block;
      m_offset = 0;
      std::this_thread::sleep_for(m_pause);
    }
    return true;
  }

 private:
  int m_socket;
  std::chrono::microseconds m_pause;
  std::string m_block;
  std::string m_next;
  std::size_t m_offset = 0;
};

}  // namespace

EndlessServer::EndlessServer(EndlessBytes bytes)
    : m_bytes(std::move(bytes)), m_listener(::socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(m_listener, generic, size) != 0 ||
      ::listen(m_listener, SOMAXCONN) != 0 ||
      ::getsockname(m_listener, generic, &size) != 0) {
    throw std::runtime_error("cannot listen on loopback");
  }
  m_address = {"127.0.0.1", ntohs(address.sin_port)};
  m_acceptor = std::thread([this] { Accept(); });
}

EndlessServer::~EndlessServer() {
  m_is_stopping = true;
  m_acceptor.join();
  for (std::thread& connection : m_connections) {
    connection.join();
  }
  ::close(m_listener);
}

void EndlessServer::Accept() {
  while (!m_is_stopping) {
    if (!WaitFor(m_listener, POLLIN)) {
      continue;
    }
    const int socket = ::accept(m_listener, nullptr, nullptr);
    if (socket >= 0) {
      m_connections.emplace_back([this, socket] { Serve(socket); });
    }
  }
}

void EndlessServer::Serve(int socket) {
  ++m_open;
  while (!m_is_stopping && !WaitFor(socket, POLLIN)) {
  }
  Sender sender(socket, m_bytes);
  while (!m_is_stopping && sender.Send(m_sent)) {
  }
  ::close(socket);
  --m_open;
}

AcceptedBytes SendWithoutEnd(const Endpoint& server,
                             const EndlessBytes& bytes,
                             std::chrono::milliseconds time) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port);
  ::inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(socket);
    throw std::runtime_error("cannot connect to the server");
  }
  const auto end = std::chrono::steady_clock::now() + time;
  std::atomic<std::size_t> sent = 0;
  Sender sender(socket, bytes);
  bool is_open = true;
  while (is_open && std::chrono::steady_clock::now() < end) {
    is_open = sender.Send(sent);
  }
  ::close(socket);
  return {sent, !is_open};
}

}  // namespace bramleyspoke
