#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "version/holder_sets.h"
#include "version/manifest_parts.h"
#include "version/routing_table.h"

namespace bramleyspoke {

/// Data from which a routing table is built.
struct RoutingInput {
  std::uint64_t generation = 0;
  bool is_confirmed = false;
  /// Null before the first manifest.
  std::shared_ptr<const AssembledManifest> manifest;
  /// Addresses of the VMs that the platform's VM list reports as leaving; not
  /// only leafs.
  std::set<Endpoint> leaving_vm_addresses;
  std::vector<DaemonAddress> members;
  std::vector<DaemonAddress> stopping;
  /// True while this daemon stops. It then remains a holder of its services, to
  /// serve requests that still arrive.
  bool is_self_leaving = false;
};

/// Builds routing tables. A service whose spec and holders are unchanged shares
/// its `ServiceRoute` with the previous table, unless the set of draining leafs
/// changed.
class RoutingTableBuilder {
 public:
  explicit RoutingTableBuilder(const DaemonAddress& self);

  std::shared_ptr<const RoutingTable> Build(RoutingInput input,
                                            const HolderSets& holders);

 private:
  struct CachedService {
    std::shared_ptr<const ServiceSpec> spec;
    std::shared_ptr<const ServiceRoute> route;
  };

  std::shared_ptr<const ServiceRoute> FindOrBuildRoute(
      const std::string& name,
      const std::shared_ptr<const ServiceSpec>& spec,
      const std::vector<DaemonAddress>& holders,
      bool is_self_leaving);
  std::set<Endpoint> LeavingLeafsOf(const ServiceSpec& spec) const;
  bool IsSelfAmong(const std::vector<DaemonAddress>& holders) const;

  Endpoint m_self;
  std::set<Endpoint> m_leaving;
  bool m_has_leaving_changed = false;
  std::map<std::string, CachedService> m_cached_services;
};

}  // namespace bramleyspoke
