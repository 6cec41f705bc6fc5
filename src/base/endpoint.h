#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleyspoke {

/// A numeric IP address and a TCP port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on <=>.
  auto operator<=>(const Endpoint&) const = default;
};

/// Returns "host:port", with IPv6 addresses in brackets.
std::string ToString(const Endpoint& endpoint);
/// Empty unless `text` is an IP address and a port from 1 to 65535.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace bramleyspoke
