#include "policy_cases.h"

#include "case_setup.h"

namespace bramleyspoke::Harness {
namespace {

// Variant with the given number of holders for every service.
Variant WithHolders(const Manifest& base, std::uint32_t holders) {
  Variant variant{std::to_string(holders) + " holders", base};
  for (ServiceSpec& spec : variant.manifest.services) {
    spec.holders = holders;
  }
  return variant;
}

Variant WithExtraLoad(const Manifest& base, std::string name, double percent) {
  Variant variant{std::move(name), base};
  for (ServiceSpec& spec : variant.manifest.services) {
    spec.extra_load_percent = percent;
  }
  return variant;
}

std::vector<Variant> HedgeVariants(const Manifest& base,
                                   const std::string& when) {
  return {WithExtraLoad(base, when + ", no extra", 0),
          WithExtraLoad(base, when + ", 5 %", 5),
          WithExtraLoad(base, when + ", 20 %", 20)};
}

// Long service times, so that the slots are saturated before the processors.
FleetOptions MakeSlowFleet() {
  FleetOptions options = MakeKalahariFleet();
  for (ServicePlan& plan : options.deployment.services) {
    plan.service_time = std::chrono::milliseconds(40);
    plan.queue = 8;
  }
  return options;
}

// Loads at `factor` times the capacity of the slots.
std::vector<ServiceLoad> LoadsAt(const Deployment& deployment, double factor) {
  std::vector<ServiceLoad> loads = MakeBaseLoads();
  for (std::size_t i = 0; i < loads.size(); ++i) {
    const ServicePlan& plan = deployment.services[i];
    const double seconds =
        std::chrono::duration<double>(plan.service_time).count();
    loads[i].rate = factor * plan.replicas * plan.slots / seconds;
  }
  return loads;
}

}  // namespace

Result<std::size_t> RunBase(const BenchOptions& options) {
  BOOST_LEAF_AUTO(trial, StartKalahari("base", options));
  trial->Measure("base");
  return trial->Finish();
}

Result<std::size_t> RunHolders(const BenchOptions& options) {
  BOOST_LEAF_AUTO(trial, StartKalahari("holders", options));
  const Manifest base = BaseManifest(*trial);
  trial->MeasureAlternating({WithHolders(base, 1), WithHolders(base, 2),
                             WithHolders(base, 3),
                             WithHolders(base, kKalahariDaemons)});
  return trial->Finish();
}

Result<std::size_t> RunStraggler(const BenchOptions& options) {
  BOOST_LEAF_AUTO(trial, StartKalahari("straggler", options));
  const Manifest base = BaseManifest(*trial);
  Fleet& fleet = trial->GetFleet();
  fleet.InjectLeafFault(LeafName(*trial, kDesk, 3, 0), "slow", "10");
  trial->MeasureAlternating(HedgeVariants(base, "replica"));
  fleet.InjectLeafFault(LeafName(*trial, kDesk, 3, 1), "slow", "10");
  trial->MeasureAlternating(HedgeVariants(base, "shard"));
  return trial->Finish();
}

Result<std::size_t> RunOverload(const BenchOptions& options) {
  BOOST_LEAF_AUTO(trial,
                  Trial::Start("overload", options, MakeSlowFleet(), {}));
  const Deployment plan = trial->GetFleet().Plan();
  for (const double factor : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0}) {
    trial->SetLoads(LoadsAt(plan, factor));
    trial->Measure("x" + std::to_string(factor).substr(0, 3));
  }
  return trial->Finish();
}

Result<std::size_t> RunTarget(const BenchOptions& options) {
  BOOST_LEAF_AUTO(trial, StartKalahari("target", options));
  Fleet& fleet = trial->GetFleet();
  trial->Measure("nothing wrong");
  fleet.InjectLeafFault(LeafName(*trial, kDesk, 3, 0), "slow", "10");
  fleet.InjectLeafFault(LeafName(*trial, kDesk, 7, 1), "crash", "0");
  trial->Measure("straggler and lost replica");
  return trial->Finish();
}

}  // namespace bramleyspoke::Harness
