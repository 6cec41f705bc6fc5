#include "connection/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace bramleyspoke {

void SetKeepAlive(int socket) {
  constexpr int kOn = 1;
  constexpr int kIdleSeconds = 2;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 2;
  ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &kOn, sizeof(kOn));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds,
               sizeof(kIdleSeconds));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kIntervalSeconds,
               sizeof(kIntervalSeconds));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
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
