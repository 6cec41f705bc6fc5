#pragma once

#include <sys/socket.h>

#include "base/endpoint.h"

namespace bramleyspoke {

/// An endpoint in the form that the socket functions expect.
struct SocketAddress {
  sockaddr_storage storage = {};
  socklen_t length = 0;
};

SocketAddress ToSocketAddress(const Endpoint& endpoint);

}  // namespace bramleyspoke
