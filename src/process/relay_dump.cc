#include "process/relay_dump.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace bramleyspoke {
namespace {

namespace json = boost::json;

json::value Text(std::string_view text) {
  return json::string(text.data(), text.size());
}

json::value DumpRate(const LeafRateLimit& limit) {
  return limit.Rate() ? json::value(*limit.Rate()) : json::value();
}

json::array DumpLeafs(const LeafTable& leaf_table, TimePoint now) {
  json::array leafs;
  for (const auto& [name, service] : leaf_table.Services()) {
    for (const auto& leaf : service->leafs) {
      leafs.push_back(
          json::object{{"id", leaf->registration.id},
                       {"service", name},
                       {"address", ToString(leaf->registration.address)},
                       {"state", Text(ToString(StateOf(*leaf, now)))},
                       {"near", leaf->is_near},
                       {"in_flight", leaf->load.InFlight()},
                       {"share", leaf->share},
                       {"silent", leaf->load.IsSilent(now)},
                       {"request_rate", DumpRate(leaf->rate_limit)}});
    }
  }
  return leafs;
}

json::array DumpDaemons(const std::vector<DaemonEntry>& daemons) {
  json::array list;
  for (const DaemonEntry& daemon : daemons) {
    list.push_back(json::object{{"address", ToString(daemon.address)},
                                {"region", daemon.region},
                                {"failure_domain", daemon.failure_domain},
                                {"processor", daemon.processor}});
  }
  return list;
}

json::array DumpBudgets(const LeafTable& leaf_table) {
  json::array budgets;
  for (const auto& [name, service] : leaf_table.Services()) {
    budgets.push_back(json::object{{"service", name},
                                   {"repeats_left", service->budget.Tokens()},
                                   {"waiting", service->waiting.size()}});
  }
  return budgets;
}

}  // namespace

std::string MakeRelayDump(const std::string& name,
                          const RelayObservation& state,
                          const std::vector<DaemonEntry>& daemons,
                          const LeafTable& leaf_table,
                          TimePoint now) {
  return json::serialize(
      json::object{{"name", name},
                   {"version", state.version},
                   {"ready", state.is_ready},
                   {"stopping", state.is_stopping},
                   {"holder", state.is_holder},
                   {"leaf_contact", Text(ToString(state.contact))},
                   {"store_reachable", state.is_store_reachable},
                   {"in_flight", state.in_flight},
                   {"caller_connections", state.caller_connections},
                   {"leaf_connections", state.leaf_connections},
                   {"daemons", DumpDaemons(daemons)},
                   {"services", DumpBudgets(leaf_table)},
                   {"leafs", DumpLeafs(leaf_table, now)}});
}

}  // namespace bramleyspoke
