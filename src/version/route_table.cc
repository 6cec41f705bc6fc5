#include "version/route_table.h"

#include <utility>

namespace bramleyspoke {

RouteTable::RouteTable(std::uint64_t version,
                       std::vector<Route> routes,
                       std::vector<RoutedService> services,
                       CallerLimits limits)
    : m_version(version), m_routes(std::move(routes)), m_limits(limits) {
  for (RoutedService& service : services) {
    std::string name = service.name;
    m_services.emplace(std::move(name), std::move(service));
  }
  for (const Route& route : m_routes) {
    m_by_host[route.host].emplace(route.prefix, &route);
  }
}

// Every prefix ends with a slash, so a prefix can match only if it equals the
// path up to one of the path's slashes. The longest such part is tried first.
const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto prefixes = m_by_host.find(host);
  if (prefixes == m_by_host.end()) {
    return nullptr;
  }
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found = prefixes->second.find(path.substr(0, slash + 1));
    if (found != prefixes->second.end()) {
      return found->second;
    }
    if (slash == 0) {
      break;
    }
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

}  // namespace bramleyspoke
