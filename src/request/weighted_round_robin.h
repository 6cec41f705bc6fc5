#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "version/route_table.h"

namespace bramleyspoke {

/// Distributes a route's requests over its services by weight, with smooth
/// weighted round-robin.
///
/// Even short sequences of requests are distributed closely by weight; random
/// selection would deviate by more over a few hundred requests.
class WeightedRoundRobin {
 public:
  /// Index in `services` of the next request's service.
  std::size_t Next(const std::string& route,
                   const std::vector<WeightedService>& services);
  /// Drops the state of routes that are not in `table`.
  void Retain(const RouteTable& table);

 private:
  struct RouteState {
    std::vector<WeightedService> services;
    std::vector<double> credit;
  };

  std::map<std::string, RouteState> m_routes;
};

}  // namespace bramleyspoke
