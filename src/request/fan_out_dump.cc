#include <boost/json.hpp>

#include "request/ejection.h"
#include "request/fan_out_engine.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

json::object ToJson(const EngineCounters& counters) {
  json::object refusals;
  for (std::size_t i = 0; i < counters.refusals.size(); ++i) {
    if (counters.refusals[i] > 0) {
      refusals[ToString(static_cast<RefusalReason>(i))] = counters.refusals[i];
    }
  }
  return {{"queries", counters.queries},
          {"answers", counters.answers},
          {"full_answers", counters.full_answers},
          {"coverage_sum", counters.coverage_sum},
          {"attempts", counters.attempts},
          {"needed", counters.needed},
          {"not_sent", counters.not_sent},
          {"hedges", counters.hedges},
          {"hedge_wins", counters.hedge_wins},
          {"retries", counters.retries},
          {"cancels", counters.cancels},
          {"late_answers", counters.late_answers},
          {"ejections", counters.ejections},
          {"restarts", counters.restarts},
          {"refusals", std::move(refusals)}};
}

json::object ToJson(const IndexVersion& version) {
  return {{"version", version.number}, {"layout", version.layout}};
}

json::object ToJson(const LeafRecord& leaf, TimePoint now) {
  json::array versions;
  for (const IndexVersion& version : leaf.versions) {
    versions.push_back(ToJson(version));
  }
  json::array drained(leaf.drained.begin(), leaf.drained.end());
  json::object out{
      {"leaf", ToString(leaf.endpoint)},
      {"incarnation", leaf.incarnation},
      {"in_flight", leaf.in_flight},
      {"latency_ms", static_cast<double>(leaf.latency.count()) / 1e6},
      {"versions", std::move(versions)},
      {"open", leaf.IsOpen()},
      {"leaving", leaf.is_leaving},
      {"drained_incarnations", std::move(drained)},
      {"reachable", leaf.is_reachable},
      {"ejected", EjectionPolicy::IsEjected(leaf, now)},
      {"failures_in_row", leaf.failures_in_row}};
  if (leaf.reported_load) {
    out["reported_load"] = *leaf.reported_load;
  }
  return out;
}

}  // namespace

std::string FanOutEngine::DumpJson(TimePoint now) const {
  json::array leafs;
  for (const LeafRecord& leaf : m_replica_table.Leafs()) {
    if (leaf.is_used) {
      leafs.push_back(ToJson(leaf, now));
    }
  }
  json::array suspects;
  for (const CrashGuard::Suspect& suspect : m_guard.Suspects()) {
    suspects.push_back({{"fingerprint", suspect.fingerprint},
                        {"crashes", suspect.crashes},
                        {"peer_crashes", suspect.peer_crashes}});
  }
  json::object dump{
      {"service", m_route->spec.name},
      {"in_flight", m_queries.size()},
      {"waiting_tasks", m_waiting_tasks},
      {"held_bytes", m_held_bytes},
      {"slot_share", m_slot_share},
      {"hedge_delay_ms", ToMilliseconds(m_hedges.QuantileDelay())},
      {"extra_load_tokens", m_budget.Tokens()},
      {"counters", ToJson(m_counters)},
      {"crash_fingerprints", std::move(suspects)},
      {"leafs", std::move(leafs)}};
  if (m_snapshot) {
    dump["snapshot"] = ToJson(m_snapshot->version);
  }
  return json::serialize(dump);
}

}  // namespace bramleyspoke
