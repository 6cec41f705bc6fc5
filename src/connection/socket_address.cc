#include "connection/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace bramleyspoke {
namespace {

SocketAddress ToV4(const Endpoint& endpoint) {
  SocketAddress address;
  auto& in = reinterpret_cast<sockaddr_in&>(address.storage);
  in.sin_family = AF_INET;
  in.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.host.c_str(), &in.sin_addr);
  address.length = sizeof(in);
  return address;
}

SocketAddress ToV6(const Endpoint& endpoint) {
  SocketAddress address;
  auto& in = reinterpret_cast<sockaddr_in6&>(address.storage);
  in.sin6_family = AF_INET6;
  in.sin6_port = htons(endpoint.port);
  inet_pton(AF_INET6, endpoint.host.c_str(), &in.sin6_addr);
  address.length = sizeof(in);
  return address;
}

}  // namespace

SocketAddress ToSocketAddress(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.host.find(':') != std::string::npos;
  return is_v6 ? ToV6(endpoint) : ToV4(endpoint);
}

}  // namespace bramleyspoke
