#include "deployment.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace bramleyspoke::Harness {
namespace {

namespace json = boost::json;

constexpr std::uint16_t kLeafPort = 7000;
constexpr int kFirstLeafSubnet = 2;

double ToRealMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Round-trip time from a holder in the service's home region.
Duration LatencyOf(const Deployment& deployment, const LeafPlan& leaf) {
  const bool is_home =
      leaf.region == deployment.services[leaf.service].home_region;
  return 2 * (is_home ? deployment.domain_latency : deployment.region_latency);
}

json::object LeafValue(const Deployment& deployment, const LeafPlan& leaf) {
  const ServicePlan& plan = deployment.services[leaf.service];
  return {{"listen", ToString(leaf.address)},
          {"service", plan.name},
          {"shards", json::array{leaf.shard}},
          {"versions",
           json::array{json::object{{"version", deployment.version.number},
                                    {"layout", deployment.version.layout}}}},
          {"slots", plan.slots},
          {"queue", plan.queue},
          {"connections", plan.connections},
          {"hits", plan.hits_per_shard},
          {"new_connection_ms", ToRealMilliseconds(plan.new_connection)},
          {"service_ms", ToRealMilliseconds(plan.service_time)},
          {"latency_ms", ToRealMilliseconds(LatencyOf(deployment, leaf))},
          {"jitter", plan.jitter},
          {"tail_share", plan.tail_share},
          {"tail_factor", plan.tail_factor},
          {"cold_ms", ToRealMilliseconds(plan.cold_time)},
          {"cold_factor", plan.cold_factor},
          {"status_lag_ms", ToRealMilliseconds(plan.status_lag)},
          {"seed", 1 + leaf.shard * 8 + leaf.replica}};
}

ServicePlan MakeBroadSearch(std::string name, std::uint32_t shards) {
  ServicePlan plan;
  plan.name = std::move(name);
  plan.shards = shards;
  return plan;
}

ServicePlan MakeLookup(std::string name) {
  ServicePlan plan;
  plan.name = std::move(name);
  plan.replicas = 3;
  plan.slots = 6;
  plan.connections = 110;
  plan.new_connection = std::chrono::milliseconds(1);
  plan.service_time = std::chrono::milliseconds(3);
  plan.is_multi_region = true;
  return plan;
}

ServiceSpec MakeSpec(const Deployment& deployment, std::size_t index) {
  const ServicePlan& plan = deployment.services[index];
  ServiceSpec spec;
  spec.name = plan.name;
  spec.service_class = plan.service_class;
  spec.idempotent = plan.is_idempotent;
  spec.slots = plan.slots;
  spec.connections = plan.connections;
  spec.holders = plan.holders;
  spec.extra_load_percent = plan.extra_load_percent;
  spec.max_hits = 1000;
  spec.default_deadline = plan.default_deadline;
  return spec;
}

}  // namespace

std::string Deployment::FailureDomain(std::uint32_t region,
                                      std::uint32_t domain) const {
  return regions[region] + "-" + std::to_string(domain + 1);
}

Deployment MakeKalahari() {
  Deployment deployment;
  deployment.regions = {"windhoek", "walvis-bay", "oshakati"};
  ServicePlan desk = MakeBroadSearch("restore-desk-search", 20);
  ServicePlan auditor = MakeBroadSearch("retention-auditor", 30);
  auditor.service_class = ServiceClass::kBatch;
  auditor.home_region = 1;
  ServicePlan lookup = MakeLookup("manifest-lookup");
  lookup.service_class = ServiceClass::kUrgent;
  ServicePlan billing = MakeLookup("usage-billing");
  billing.is_idempotent = false;
  billing.home_region = 2;
  deployment.services = {desk, auditor, lookup, billing};
  return deployment;
}

Deployment MakeSmallDeployment() {
  Deployment deployment;
  deployment.regions = {"windhoek"};
  ServicePlan search = MakeBroadSearch("search", 4);
  ServicePlan restore = MakeBroadSearch("restore", 2);
  restore.is_idempotent = false;
  deployment.services = {search, restore};
  return deployment;
}

std::vector<LeafPlan> MakeLeafs(const Deployment& deployment, int network) {
  std::vector<LeafPlan> leafs;
  for (std::size_t i = 0; i < deployment.services.size(); ++i) {
    const ServicePlan& plan = deployment.services[i];
    const std::string subnet = "127." + std::to_string(network) + "." +
                               std::to_string(kFirstLeafSubnet + i) + ".";
    for (std::uint32_t n = 0; n < plan.shards * plan.replicas; ++n) {
      LeafPlan leaf;
      leaf.service = i;
      leaf.shard = n / plan.replicas;
      leaf.replica = n % plan.replicas;
      leaf.address = Endpoint{subnet + std::to_string(n + 1), kLeafPort};
      leaf.region =
          (plan.home_region + (plan.is_multi_region ? leaf.replica : 0)) %
          deployment.regions.size();
      leaf.failure_domain =
          (leaf.shard + leaf.replica) % deployment.domains_per_region;
      leafs.push_back(std::move(leaf));
    }
  }
  return leafs;
}

Manifest MakeManifest(const Deployment& deployment,
                      const std::vector<LeafPlan>& leafs) {
  Manifest manifest;
  for (std::size_t i = 0; i < deployment.services.size(); ++i) {
    ServiceSpec spec = MakeSpec(deployment, i);
    Layout layout;
    layout.id = deployment.version.layout;
    for (std::uint32_t shard = 0; shard < deployment.services[i].shards;
         ++shard) {
      layout.shards.push_back(Shard{shard, {}});
    }
    for (const LeafPlan& leaf : leafs) {
      if (leaf.service == i) {
        layout.shards[leaf.shard].replicas.push_back(
            Replica{leaf.address,
                    deployment.FailureDomain(leaf.region, leaf.failure_domain),
                    deployment.regions[leaf.region]});
      }
    }
    spec.layouts = {std::move(layout)};
    manifest.services.push_back(std::move(spec));
  }
  return manifest;
}

std::string MakeLeafConfig(const Deployment& deployment,
                           const std::vector<LeafPlan>& leafs,
                           std::size_t from,
                           std::size_t to,
                           const Endpoint& control) {
  json::array values;
  for (std::size_t i = from; i < to; ++i) {
    values.push_back(LeafValue(deployment, leafs[i]));
  }
  return json::serialize(json::object{{"control", ToString(control)},
                                      {"leafs", std::move(values)}});
}

std::map<std::string, ServiceProperties> MakeServiceProperties(
    const Deployment& deployment) {
  std::map<std::string, ServiceProperties> properties;
  for (const ServicePlan& plan : deployment.services) {
    properties[plan.name] =
        ServiceProperties{plan.is_idempotent,
                          plan.hits_per_shard,
                          {{deployment.version.layout, plan.shards}}};
  }
  return properties;
}

}  // namespace bramleyspoke::Harness
