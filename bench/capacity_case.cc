#include "capacity_case.h"

#include <algorithm>
#include <thread>
#include <vector>

#include "case_setup.h"
#include "child_process.h"

namespace bramleyspoke::Harness {
namespace {

constexpr double kMebibyte = 1024.0 * 1024.0;

// Means over the daemons of a fleet.
struct DaemonUsage {
  Duration processor_time = Duration::zero();
  double resident_mebibytes = 0;
};

DaemonUsage MeanUsage(Fleet& fleet) {
  const std::size_t count = fleet.CallerAddresses().size();
  DaemonUsage mean;
  for (std::size_t i = 0; i < count; ++i) {
    const ProcessUsage usage = fleet.Daemon(i).Usage();
    mean.processor_time += usage.processor_time / count;
    mean.resident_mebibytes += static_cast<double>(usage.resident_bytes) /
                               kMebibyte / static_cast<double>(count);
  }
  return mean;
}

double ShareOfCore(Duration used, Duration elapsed) {
  return static_cast<double>(used.count()) /
         static_cast<double>(elapsed.count());
}

// Without load, only the control code uses processor time.
Result<void> MeasureIdle(const BenchOptions& options, std::size_t daemons) {
  FleetOptions fleet_options = MakeKalahariFleet();
  fleet_options.daemons = daemons;
  const std::string variant = std::to_string(daemons) + " daemons idle";
  BOOST_LEAF_AUTO(trial, Trial::Start("capacity", options, fleet_options, {}));
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const DaemonUsage before = MeanUsage(trial->GetFleet());
  std::this_thread::sleep_for(options.length);
  const DaemonUsage after = MeanUsage(trial->GetFleet());
  trial->ReportFigure(variant, "share of a core",
                      ShareOfCore(after.processor_time - before.processor_time,
                                  options.length));
  trial->ReportFigure(variant, "resident MiB", after.resident_mebibytes);
  return {};
}

Result<std::size_t> MeasureQueryPath(const BenchOptions& options) {
  BOOST_LEAF_AUTO(trial, StartKalahari("capacity", options));
  const DaemonUsage before = MeanUsage(trial->GetFleet());
  trial->Measure("query path");
  const DaemonUsage after = MeanUsage(trial->GetFleet());
  const auto& leafs = trial->GetHistory().leafs;
  const auto attempts =
      std::count_if(leafs.begin(), leafs.end(), [](const LeafEvent& event) {
        return event.kind == LeafEventKind::kReceived;
      });
  const double total = static_cast<double>(
      (after.processor_time - before.processor_time).count() *
      kKalahariDaemons);
  trial->ReportFigure(
      "query path", "daemon microseconds an attempt",
      total / 1000 / static_cast<double>(std::max<long>(1, attempts)));
  return trial->Finish();
}

}  // namespace

Result<std::size_t> RunCapacity(const BenchOptions& options) {
  for (const std::size_t daemons : {9, 27, 81, 162}) {
    BOOST_LEAF_CHECK(MeasureIdle(options, daemons));
  }
  return MeasureQueryPath(options);
}

}  // namespace bramleyspoke::Harness
