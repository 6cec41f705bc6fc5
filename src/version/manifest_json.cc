#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cmath>

#include "version/manifest.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

// Integral numbers are written without a fraction and keys in the order of the
// functions below, so that equal manifests give equal text and content hashes.
json::value RealValue(double number) {
  if (number == std::floor(number)) {
    return static_cast<std::int64_t>(number);
  }
  return number;
}

json::object ReplicaValue(const Replica& replica) {
  return {{"leaf", ToString(replica.leaf)},
          {"failure_domain", replica.failure_domain},
          {"region", replica.region}};
}

json::object ShardValue(const Shard& shard) {
  json::array replicas;
  for (const Replica& replica : shard.replicas) {
    replicas.push_back(ReplicaValue(replica));
  }
  return {{"id", shard.id}, {"replicas", std::move(replicas)}};
}

json::object LayoutValue(const Layout& layout) {
  json::array shards;
  for (const Shard& shard : layout.shards) {
    shards.push_back(ShardValue(shard));
  }
  return {{"id", layout.id}, {"shards", std::move(shards)}};
}

json::object ServiceValue(const ServiceSpec& spec) {
  json::array layouts;
  for (const Layout& layout : spec.layouts) {
    layouts.push_back(LayoutValue(layout));
  }
  const std::string_view service_class = ToString(spec.service_class);
  json::object value;
  value["name"] = spec.name;
  value["class"] = std::string(service_class);
  value["idempotent"] = spec.idempotent;
  value["slots"] = spec.slots;
  value["connections"] = spec.connections;
  value["holders"] = spec.holders;
  value["max_hits"] = spec.max_hits;
  value["max_answer_bytes"] = spec.max_answer_bytes;
  value["default_deadline_ms"] = ToMilliseconds(spec.default_deadline);
  value["extra_load_percent"] = RealValue(spec.extra_load_percent);
  value["layouts"] = std::move(layouts);
  return value;
}

}  // namespace

std::string ToJson(const Manifest& manifest) {
  json::array services;
  for (const ServiceSpec& spec : manifest.services) {
    services.push_back(ServiceValue(spec));
  }
  json::array callers;
  for (const CallerSpec& caller : manifest.callers) {
    callers.push_back(json::object{{"name", caller.name},
                                   {"max_in_flight", caller.max_in_flight}});
  }
  json::array leaving;
  for (const Endpoint& leaf : manifest.leaving) {
    leaving.push_back(json::string(ToString(leaf)));
  }
  return json::serialize(json::object{{"services", std::move(services)},
                                      {"callers", std::move(callers)},
                                      {"leaving", std::move(leaving)}});
}

}  // namespace bramleyspoke
