#pragma once

#include <sys/socket.h>

#include "base/endpoint.h"

namespace bramleyspoke {

/// An endpoint as the socket calls take it.
struct SocketAddress {
  sockaddr_storage storage = {};
  socklen_t length = 0;
};

SocketAddress ToSocketAddress(const Endpoint& endpoint);

}  // namespace bramleyspoke
