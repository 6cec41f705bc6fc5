#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "version/manifest.h"

namespace bramleyspoke {

/// A daemon as callers and peers reach it.
struct DaemonAddress {
  /// Where callers connect.
  Endpoint caller;
  /// Where peers connect; names the daemon.
  Endpoint peer;
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  std::string region;

  bool operator==(const DaemonAddress&) const = default;
};

/// One service as a daemon routes it; immutable.
struct ServiceRoute {
  ServiceSpec spec;
  /// Daemons that hold connections to the leafs, best first.
  std::vector<DaemonAddress> holders;
  /// Whether this daemon is one of them.
  bool is_held_here = false;
  /// Leafs that get no new work.
  std::set<Endpoint> leaving;
};

/// Every leaf that the service's layouts name.
std::set<Endpoint> LeafsOf(const ServiceRoute& route);

/// All that traffic needs to know; immutable, replaced as a whole.
struct RoutingTable {
  /// 0 before the first manifest.
  std::uint64_t generation = 0;
  /// False when the generation could not be confirmed for too long.
  bool is_confirmed = false;
  std::map<std::string, std::shared_ptr<const ServiceRoute>, std::less<>>
      services;
  std::vector<CallerSpec> callers;
  /// Live daemons, this one included unless it is stopping.
  std::vector<DaemonAddress> members;
  /// Daemons in a planned stop: they get no new work, but still answer for
  /// the requests whose ids they issued.
  std::vector<DaemonAddress> stopping;
};

/// Takes each new routing table; called on the control thread.
class RoutingTableListener {
 public:
  virtual ~RoutingTableListener() = default;
  virtual void OnRoutingTable(std::shared_ptr<const RoutingTable> table) = 0;
};

}  // namespace bramleyspoke
