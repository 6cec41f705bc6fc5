#include "cases.h"

#include <iostream>

#include "capacity_case.h"
#include "control_cost.h"
#include "engine_cost.h"
#include "exchange_cost.h"
#include "fault_cases.h"
#include "manifest_spread.h"
#include "policy_cases.h"
#include "soak.h"

namespace bramleyspoke::Harness {
namespace {

Result<std::size_t> RunEngineCost(const BenchOptions&) {
  BenchEngineCost(std::cout);
  return 0;
}

Result<std::size_t> RunControlCost(const BenchOptions&) {
  BenchControlCost(std::cout);
  BenchExchangeCost(std::cout);
  BenchManifestSpread(std::cout);
  return 0;
}

}  // namespace

const std::vector<BenchCase>& BenchCases() {
  static const std::vector<BenchCase> kCases = {
      {"base", "the base load, nothing wrong", RunBase},
      {"target", "one straggler and one lost replica", RunTarget},
      {"holders", "holder sets of 1, 2, 3 and all", RunHolders},
      {"straggler", "slow replica and slow shard, hedge budgets", RunStraggler},
      {"overload", "0.5 to 3 times what the slots carry", RunOverload},
      {"replica_loss", "replicas killed and frozen", RunReplicaLoss},
      {"cold_start", "cold leafs, and load that lies", RunColdStart},
      {"crashing_request", "leafs lost to one request", RunCrashingRequest},
      {"churn", "daemons killed, stopped, replaced", RunChurn},
      {"repartition", "version and layout change", RunRepartition},
      {"store_down", "outage, slowness, lost answers", RunStoreDown},
      {"capacity", "processor time and memory by fleet size", RunCapacity},
      {"engine_cost", "processor time of the engine alone", RunEngineCost},
      {"control_cost", "control's decisions alone, up to the target's size",
       RunControlCost},
      {"soak", "random faults; only when asked for", RunSoak, true},
  };
  return kCases;
}

}  // namespace bramleyspoke::Harness
