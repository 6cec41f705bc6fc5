#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "version/route_table.h"

namespace bramleyspoke {

/// Shares a route's requests out over its services in their weights.
///
/// Each run of requests, however short, comes as close to the weights as whole
/// requests can; a random draw would be off by more in a few hundred.
class WeightedRotation {
 public:
  /// Place in `services` of the next request's service.
  std::size_t Next(const std::string& route,
                   const std::vector<WeightedService>& services);
  /// Forgets routes that are not in `table`.
  void Retain(const RouteTable& table);

 private:
  struct Turn {
    std::vector<WeightedService> services;
    std::vector<double> credit;
  };

  std::map<std::string, Turn> m_turns;
};

}  // namespace bramleyspoke
