#include "version/routing_table_builder.h"

#include <algorithm>
#include <utility>

#include "version/manifest_leafs.h"

namespace bramleyspoke {

RoutingTableBuilder::RoutingTableBuilder(const DaemonAddress& self)
    : m_self(self.peer) {}

std::shared_ptr<const RoutingTable> RoutingTableBuilder::Build(
    RoutingInput input,
    const HolderSets& holders) {
  auto table = std::make_shared<RoutingTable>();
  table->generation = input.generation;
  table->is_confirmed = input.is_confirmed;
  table->members = std::move(input.members);
  table->stopping = std::move(input.stopping);
  if (!input.manifest) {
    return table;
  }
  std::set<Endpoint> leaving = std::move(input.leaving_vm_addresses);
  leaving.insert(input.manifest->leaving.begin(),
                 input.manifest->leaving.end());
  m_has_leaving_changed = leaving != m_leaving;
  m_leaving = std::move(leaving);
  table->callers = input.manifest->callers;
  for (const auto& [name, spec] : input.manifest->services) {
    table->services.emplace_hint(
        table->services.end(), name,
        FindOrBuildRoute(name, spec, holders.HoldersOf(name),
                         input.is_self_leaving));
  }
  std::erase_if(m_cached_services, [&](const auto& entry) {
    return !table->services.contains(entry.first);
  });
  return table;
}

std::shared_ptr<const ServiceRoute> RoutingTableBuilder::FindOrBuildRoute(
    const std::string& name,
    const std::shared_ptr<const ServiceSpec>& spec,
    const std::vector<DaemonAddress>& holders,
    bool is_self_leaving) {
  CachedService& cached = m_cached_services[name];
  const bool is_same_spec = cached.spec == spec && cached.route;
  if (is_same_spec && !m_has_leaving_changed &&
      cached.route->holders == holders) {
    return cached.route;
  }
  auto route = std::make_shared<ServiceRoute>();
  route->spec = *spec;
  route->holders = holders;
  const bool was_held = cached.route && cached.route->is_held_here;
  route->is_held_here = IsSelfAmong(holders) || (is_self_leaving && was_held);
  const bool is_same_leaving = is_same_spec && !m_has_leaving_changed;
  route->leaving =
      is_same_leaving ? cached.route->leaving : LeavingLeafsOf(*spec);
  cached.spec = spec;
  cached.route = std::move(route);
  return cached.route;
}

std::set<Endpoint> RoutingTableBuilder::LeavingLeafsOf(
    const ServiceSpec& spec) const {
  std::set<Endpoint> leaving;
  if (m_leaving.empty()) {
    return leaving;
  }
  ForEachReplica(spec, [&](const Replica& replica) {
    if (m_leaving.contains(replica.leaf)) {
      leaving.insert(replica.leaf);
    }
  });
  return leaving;
}

bool RoutingTableBuilder::IsSelfAmong(
    const std::vector<DaemonAddress>& holders) const {
  return std::any_of(
      holders.begin(), holders.end(),
      [&](const DaemonAddress& holder) { return holder.peer == m_self; });
}

}  // namespace bramleyspoke
