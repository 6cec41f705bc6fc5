#include <boost/json.hpp>
#include <string>

#include "process/control_core.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

json::array MembersJson(const MemberTable& table) {
  json::array members;
  for (const MemberUpdate& member : table.All()) {
    members.push_back(
        json::object{{"peer", ToString(member.address.peer)},
                     {"caller", ToString(member.address.caller)},
                     {"incarnation", member.address.incarnation},
                     {"version", member.version},
                     {"state", json::string(ToString(member.state))},
                     {"failure_domain", member.address.failure_domain},
                     {"region", member.address.region}});
  }
  return members;
}

json::array HeldJson(const RoutingTable* table) {
  json::array held;
  if (table) {
    for (const auto& [name, route] : table->services) {
      if (route->is_held_here) {
        held.push_back(json::string(name));
      }
    }
  }
  return held;
}

}  // namespace

std::string ControlCore::DumpJson() const {
  const TimePoint now = m_context.now();
  const ManifestStatus status = m_follower.Status(now);
  return json::serialize(
      json::object{{"generation", status.generation},
                   {"root", status.root},
                   {"confirmed", m_follower.IsConfirmed(now)},
                   {"confirmed_ago_ms", ToMilliseconds(status.confirmed_ago)},
                   {"refreshing", m_follower.IsRefreshing()},
                   {"watcher", m_follower.IsWatcher()},
                   {"manifest_fault", m_follower.Problem()},
                   {"manifest_bytes", m_follower.PartBytes()},
                   {"notices", m_notices.Size()},
                   {"leaving_vms", m_leaving_vms.size()},
                   {"held_services", HeldJson(m_table.get())},
                   {"members", MembersJson(m_membership.Table())}});
}

}  // namespace bramleyspoke
