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

/// A daemon's addresses for callers and peers, and its location.
struct DaemonAddress {
  /// Address for callers.
  Endpoint caller;
  /// Address for peers; identifies the daemon.
  Endpoint peer;
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  std::string region;

  bool operator==(const DaemonAddress&) const = default;
};

/// Routing data of one service; immutable.
struct ServiceRoute {
  ServiceSpec spec;
  /// Daemons that hold connections to the leafs, best rank first.
  std::vector<DaemonAddress> holders;
  /// Whether this daemon is one of the holders.
  bool is_held_here = false;
  /// Draining leafs; they get no new requests.
  std::set<Endpoint> leaving;
};

/// All leafs in the service's layouts.
std::set<Endpoint> LeafsOf(const ServiceRoute& route);

/// Routing data for the traffic threads; immutable, replaced as a whole.
struct RoutingTable {
  /// Generation of the manifest; 0 before the first one.
  std::uint64_t generation = 0;
  /// Whether the generation was recently confirmed as the current one.
  bool is_confirmed = false;
  std::map<std::string, std::shared_ptr<const ServiceRoute>, std::less<>>
      services;
  std::vector<CallerSpec> callers;
  /// Live daemons, this one included unless it is stopping.
  std::vector<DaemonAddress> members;
  /// Daemons in a planned stop: they get no new requests, but still respond
  /// for the requests whose ids they issued.
  std::vector<DaemonAddress> stopping;
};

/// Receives each new routing table; called on the control thread.
class RoutingTableListener {
 public:
  virtual ~RoutingTableListener() = default;
  virtual void OnRoutingTable(std::shared_ptr<const RoutingTable> table) = 0;
};

}  // namespace bramleyspoke
