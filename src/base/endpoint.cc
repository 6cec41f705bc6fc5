#include "base/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace bramleyspoke {
namespace {

bool IsIpAddress(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(AF_INET, host.c_str(), parsed.data()) == 1 ||
         inet_pton(AF_INET6, host.c_str(), parsed.data()) == 1;
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || rest != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.host.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + endpoint.host + "]" : endpoint.host;
  return host + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::optional<std::uint16_t> port = ParsePort(text.substr(colon + 1));
  if (!port || !IsIpAddress(std::string(host))) {
    return std::nullopt;
  }
  return Endpoint{std::string(host), *port};
}

}  // namespace bramleyspoke
