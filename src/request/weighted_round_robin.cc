#include "request/weighted_round_robin.h"

#include <algorithm>
#include <set>

namespace bramleyspoke {
namespace {

bool IsSame(const std::vector<WeightedService>& a,
            const std::vector<WeightedService>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const auto& one, const auto& other) {
                      return one.service == other.service &&
                             one.weight == other.weight;
                    });
}

}  // namespace

std::size_t WeightedRoundRobin::Next(
    const std::string& route,
    const std::vector<WeightedService>& services) {
  RouteState& state = m_routes[route];
  if (!IsSame(state.services, services)) {
    state.services = services;
    state.credit.assign(services.size(), 0);
  }
  double total = 0;
  for (std::size_t index = 0; index < services.size(); ++index) {
    state.credit[index] += services[index].weight;
    total += services[index].weight;
  }
  const auto next = std::max_element(state.credit.begin(), state.credit.end());
  *next -= total;
  return static_cast<std::size_t>(next - state.credit.begin());
}

void WeightedRoundRobin::Retain(const RouteTable& table) {
  std::set<std::string> names;
  for (const Route& route : table.Routes()) {
    names.insert(route.name);
  }
  std::erase_if(m_routes,
                [&](const auto& row) { return !names.contains(row.first); });
}

}  // namespace bramleyspoke
