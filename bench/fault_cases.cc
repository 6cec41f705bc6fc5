#include "fault_cases.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "case_setup.h"
#include "child_process.h"
#include "repartition.h"

namespace bramleyspoke::Harness {
namespace {

constexpr std::chrono::seconds kChurnInterval{3};
constexpr std::chrono::seconds kStepInterval{2};
constexpr std::chrono::milliseconds kMoveInterval{100};
constexpr const char* kPoison = "poison";
constexpr const char* kCrashOnPoison =
    R"("poison","ms":1000)";  // query text, and time until the leaf restarts

// Largest number of leafs crashed by one request over all its sends.
double MaxLeafsCrashed(const History& history) {
  std::map<std::string, std::string> queries;
  for (const CallerEvent& event : history.callers) {
    queries[event.request_id] = event.query;
  }
  std::map<std::string, std::set<std::string>> leafs;
  for (const LeafEvent& event : history.leafs) {
    const std::string& query = queries[event.request_id];
    if (event.kind == LeafEventKind::kCrashed &&
        query.find(kPoison) != std::string::npos) {
      leafs[query].insert(event.leaf);
    }
  }
  std::size_t max_leafs = 0;
  for (const auto& [query, crashed] : leafs) {
    max_leafs = std::max(max_leafs, crashed.size());
  }
  return static_cast<double>(max_leafs);
}

// Kills or stops a random daemon and restarts it, until the measurement ends.
void Churn(Trial& trial) {
  Fleet& fleet = trial.GetFleet();
  std::mt19937_64 random(trial.Options().seed);
  const TimePoint end =
      std::chrono::steady_clock::now() + trial.Options().length;
  while (std::chrono::steady_clock::now() < end) {
    const std::size_t daemon = random() % kKalahariDaemons;
    if (random() % 2 == 0) {
      fleet.Kill(daemon);
    } else {
      trial.GetHistory().stops.push_back(fleet.Stop(daemon));
    }
    fleet.StartDaemon(daemon);
    fleet.WaitReady(daemon);
    std::this_thread::sleep_for(kChurnInterval);
  }
}

void PublishUnderFault(Trial& trial, const char* fault, std::uint32_t holders) {
  Fleet& fleet = trial.GetFleet();
  fleet.InjectStoreFault(fault);
  Manifest manifest = BaseManifest(trial);
  for (ServiceSpec& spec : manifest.services) {
    spec.holders = holders;
  }
  trial.GetHistory().publishes.push_back(fleet.Publish(manifest));
  fleet.Kill(holders);
  fleet.StartDaemon(holders);
  std::this_thread::sleep_for(kStepInterval);
}

}  // namespace

Result<std::size_t> RunReplicaLoss(const BenchOptions& options) {
  BOOST_LEAF_AUTO(trial, StartKalahari("replica_loss", options));
  Fleet& fleet = trial->GetFleet();
  trial->Measure("one killed", [&] {
    fleet.InjectLeafFault(LeafName(*trial, kDesk, 2, 0), "crash", "0");
  });
  trial->Measure("and one frozen", [&] {
    fleet.InjectLeafFault(LeafName(*trial, kDesk, 5, 1), "freeze", "0");
  });
  trial->Measure("and a whole shard", [&] {
    fleet.InjectLeafFault(LeafName(*trial, kDesk, 2, 1), "crash", "0");
  });
  return trial->Finish();
}

Result<std::size_t> RunColdStart(const BenchOptions& options) {
  FleetOptions fleet_options = MakeKalahariFleet();
  for (ServicePlan& plan : fleet_options.deployment.services) {
    plan.cold_time = std::chrono::seconds(4);
  }
  BOOST_LEAF_AUTO(trial, Trial::Start("cold_start", options, fleet_options,
                                      MakeBaseLoads()));
  Fleet& fleet = trial->GetFleet();
  const auto restart_replica = [&](std::uint32_t replica) {
    for (const LeafPlan& leaf : fleet.Leafs()) {
      if (leaf.replica == replica) {
        fleet.InjectLeafFault(ToString(leaf.address), "restart", "");
      }
    }
  };
  trial->Measure("warm");
  trial->Measure("second replicas cold", [&] { restart_replica(1); });
  fleet.InjectLeafFault("*", "lie_load", "0");
  trial->Measure("cold, load lies", [&] { restart_replica(1); });
  return trial->Finish();
}

Result<std::size_t> RunCrashingRequest(const BenchOptions& options) {
  BOOST_LEAF_AUTO(trial, StartKalahari("crashing", options));
  Fleet& fleet = trial->GetFleet();
  trial->Measure("no such request");
  fleet.InjectLeafFault("*", "crash_on", kCrashOnPoison);
  std::vector<ServiceLoad> loads = MakeBaseLoads();
  ServiceLoad poison = loads[0];
  poison.rate = 1;
  poison.query_prefix = kPoison;
  poison.resends = 2 * kKalahariDaemons;
  loads.push_back(poison);
  trial->SetLoads(loads);
  trial->Measure("crashing request, resent");
  trial->ReportFigure("crashing request, resent",
                      "most leafs crashed by a request",
                      MaxLeafsCrashed(trial->GetHistory()));
  return trial->Finish();
}

Result<std::size_t> RunChurn(const BenchOptions& options) {
  BOOST_LEAF_AUTO(trial, StartKalahari("churn", options));
  std::vector<ServiceLoad> loads = MakeBaseLoads();
  for (ServiceLoad& load : loads) {
    load.resends = 3;
  }
  trial->SetLoads(loads);
  trial->Measure("churn", [&] { Churn(*trial); });
  return trial->Finish();
}

Result<std::size_t> RunRepartition(const BenchOptions& options) {
  BOOST_LEAF_AUTO(trial, StartKalahari("repartition", options));
  Manifest manifest = BaseManifest(*trial);
  ServiceSpec& desk = FindService(manifest, kDesk);
  desk.layouts.push_back(SplitInTwo(desk.layouts[0], "b"));
  trial->GetHistory().services[kDesk].layouts["b"] =
      static_cast<std::uint32_t>(desk.layouts[1].shards.size());
  trial->Publish(manifest);
  trial->Measure("underway", [&] {
    MoveToLayout(trial->GetFleet(), kDesk, IndexVersion{42, "b"},
                 [] { std::this_thread::sleep_for(kMoveInterval); });
  });
  desk.layouts.erase(desk.layouts.begin());
  trial->Publish(manifest);
  trial->Measure("after");
  return trial->Finish();
}

Result<std::size_t> RunStoreDown(const BenchOptions& options) {
  BOOST_LEAF_AUTO(trial, StartKalahari("store_down", options));
  trial->Measure("store up");
  trial->Measure("store down",
                 [&] { PublishUnderFault(*trial, R"({"mode":"down"})", 1); });
  trial->Measure("store slow", [&] {
    PublishUnderFault(*trial, R"({"mode":"slow","delay_ms":2000})", 3);
  });
  trial->Measure("answers lost", [&] {
    PublishUnderFault(*trial, R"({"mode":"lose_answers","count":3})", 2);
  });
  trial->GetFleet().InjectStoreFault(R"({"mode":"none"})");
  trial->Measure("store back");
  return trial->Finish();
}

}  // namespace bramleyspoke::Harness
