#include "connection/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace bramleyspoke {
namespace {

// Fails only for a socket that is no longer connected, which its next use
// reports.
void SetTcpOption(int socket, int option, int value) {
  ::setsockopt(socket, IPPROTO_TCP, option, &value, sizeof(value));
}

void EnableProbes(int socket, int idle_seconds) {
  constexpr int kOn = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 2;
  ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &kOn, sizeof(kOn));
  SetTcpOption(socket, TCP_KEEPIDLE, idle_seconds);
  SetTcpOption(socket, TCP_KEEPINTVL, kIntervalSeconds);
  SetTcpOption(socket, TCP_KEEPCNT, kProbes);
}

}  // namespace

void SetKeepAlive(int socket) {
  constexpr int kIdleSeconds = 2;
  EnableProbes(socket, kIdleSeconds);
}

// No probes are sent while data waits for its acknowledgement; the user timeout
// covers that time, and it replaces the number of probes.
void LimitSilence(int socket, Duration limit) {
  constexpr int kIdleSeconds = 1;
  EnableProbes(socket, kIdleSeconds);
  SetTcpOption(socket, TCP_USER_TIMEOUT,
               static_cast<int>(ToMilliseconds(limit)));
}

std::optional<Duration> RoundTripOf(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      info.tcpi_rtt == 0) {
    return std::nullopt;
  }
  return std::chrono::microseconds(info.tcpi_rtt);
}

}  // namespace bramleyspoke
