#include "cases.h"

#include <iostream>

#include "capacity_case.h"
#include "control_cost.h"
#include "engine_cost.h"
#include "exchange_cost.h"
#include "fault_cases.h"
#include "manifest_spread.h"
#include "policy_cases.h"
#include "relay_load_case.h"
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
      {"base", "the base load without faults", RunBase},
      {"target", "one slow and one crashed replica", RunTarget},
      {"holders", "holder sets of 1, 2, 3 and all", RunHolders},
      {"straggler", "slow replica and slow shard, hedge budgets", RunStraggler},
      {"overload", "0.5 to 3 times the capacity of the slots", RunOverload},
      {"replica_loss", "replicas killed and frozen", RunReplicaLoss},
      {"cold_start", "cold leafs, and leafs that report a false load",
       RunColdStart},
      {"crashing_request", "a request that crashes leafs", RunCrashingRequest},
      {"churn", "daemons killed, stopped and restarted", RunChurn},
      {"repartition", "change of index version and layout", RunRepartition},
      {"store_down", "store outage, slow store, lost store responses",
       RunStoreDown},
      {"capacity", "processor time and memory by fleet size", RunCapacity},
      {"engine_cost", "processor time of the query engine alone",
       RunEngineCost},
      {"control_cost", "cost of the control code alone, up to the target size",
       RunControlCost},
      {"relay_load", "the relay under slow, refusing and failing leafs",
       RunRelayLoad},
      {"soak", "random faults; runs only if named", RunSoak, true},
  };
  return kCases;
}

}  // namespace bramleyspoke::Harness
