#include "endless_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
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
  const std::string block = Block(m_bytes);
  std::string next = m_bytes.prefix + block;
  std::size_t offset = 0;
  while (!m_is_stopping) {
    if (!WaitFor(socket, POLLOUT)) {
      continue;
    }
    const auto sent = ::send(socket, next.data() + offset, next.size() - offset,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN) {
      break;
    }
    offset += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    m_sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    if (offset == next.size()) {
      next = block;
      offset = 0;
      std::this_thread::sleep_for(m_bytes.pause);
    }
  }
  ::close(socket);
  --m_open;
}

}  // namespace bramleyspoke
