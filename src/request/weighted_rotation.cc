#include "request/weighted_rotation.h"

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

std::size_t WeightedRotation::Next(
    const std::string& route,
    const std::vector<WeightedService>& services) {
  Turn& turn = m_turns[route];
  if (!IsSame(turn.services, services)) {
    turn.services = services;
    turn.credit.assign(services.size(), 0);
  }
  double total = 0;
  for (std::size_t index = 0; index < services.size(); ++index) {
    turn.credit[index] += services[index].weight;
    total += services[index].weight;
  }
  const auto next = std::max_element(turn.credit.begin(), turn.credit.end());
  *next -= total;
  return static_cast<std::size_t>(next - turn.credit.begin());
}

void WeightedRotation::Retain(const RouteTable& table) {
  std::set<std::string> names;
  for (const Route& route : table.Routes()) {
    names.insert(route.name);
  }
  std::erase_if(m_turns,
                [&](const auto& row) { return !names.contains(row.first); });
}

}  // namespace bramleyspoke
