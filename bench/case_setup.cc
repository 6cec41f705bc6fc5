#include "case_setup.h"

#include <algorithm>

namespace bramleyspoke::Harness {
namespace {

constexpr std::size_t kLeafProcesses = 4;

ServiceLoad MakeLoad(const char* service, double rate) {
  ServiceLoad load;
  load.service = service;
  load.rate = rate;
  return load;
}

}  // namespace

std::vector<ServiceLoad> MakeBaseLoads() {
  std::vector<ServiceLoad> loads = {MakeLoad(kDesk, 60), MakeLoad(kAuditor, 20),
                                    MakeLoad(kLookup, 100),
                                    MakeLoad(kBilling, 30)};
  loads[3].is_idempotent = false;
  return loads;
}

FleetOptions MakeKalahariFleet() {
  FleetOptions options;
  options.daemons = kKalahariDaemons;
  options.leaf_processes = kLeafProcesses;
  options.deployment = MakeKalahari();
  return options;
}

Result<std::unique_ptr<Trial>> StartKalahari(const std::string& bench_case,
                                             const BenchOptions& options) {
  return Trial::Start(bench_case, options, MakeKalahariFleet(),
                      MakeBaseLoads());
}

Manifest BaseManifest(Trial& trial) {
  return MakeManifest(trial.GetFleet().Plan(), trial.GetFleet().Leafs());
}

ServiceSpec& FindService(Manifest& manifest, std::string_view name) {
  return *std::find_if(manifest.services.begin(), manifest.services.end(),
                       [&](const auto& spec) { return spec.name == name; });
}

std::string LeafName(Trial& trial,
                     std::string_view service,
                     std::uint32_t shard,
                     std::uint32_t replica) {
  const auto& services = trial.GetFleet().Plan().services;
  for (const LeafPlan& leaf : trial.GetFleet().Leafs()) {
    if (services[leaf.service].name == service && leaf.shard == shard &&
        leaf.replica == replica) {
      return ToString(leaf.address);
    }
  }
  return {};
}

}  // namespace bramleyspoke::Harness
