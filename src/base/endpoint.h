#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleyspoke {

/// An IP address in numbers and a TCP port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads <=>.
  auto operator<=>(const Endpoint&) const = default;
};

/// "host:port"; IPv6 hosts in brackets.
std::string ToString(const Endpoint& endpoint);
/// Empty unless `text` is an IP number and a port from 1 to 65535.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace bramleyspoke
