#include "load_patterns.h"

#include <utility>

namespace bramleyspoke::Harness {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RelayLoad WithBurst(RelayLoad load, double factor) {
  load.bursts.push_back({kPatternBegin, kPatternEnd, factor});
  return load;
}

}  // namespace

RelayLoad MakeSoundLoad() {
  RelayLoad load;
  load.fleet.daemons = {3, 2, 2};
  load.fleet.shards = 20;
  load.fleet.leaf_regions = {0, 1};
  load.fleet.leafs.stall = milliseconds(300);
  load.fleet.leafs.stall_period = milliseconds(7500);
  load.fleet.allowance = {0.2, 54};
  LoadClass lookup;
  lookup.name = "lookup";
  lookup.per_second = 74;
  lookup.work.mean = milliseconds(20);
  lookup.target_latency = milliseconds(250);
  lookup.timeout = milliseconds(1500);
  lookup.min_coverage = 0.89;
  lookup.priority = 1;
  LoadClass glance;
  glance.name = "glance";
  glance.per_second = 25;
  glance.work.mean = milliseconds(7);
  glance.target_latency = milliseconds(150);
  glance.timeout = milliseconds(800);
  glance.min_coverage = 0.75;
  glance.priority = 2;
  load.classes = {lookup, glance};
  load.length = seconds(14);
  return load;
}

RelayLoad WithFault(RelayLoad load,
                    LeafFaultKind kind,
                    double strength,
                    std::size_t shards) {
  load.faults.push_back(
      {{kind, strength, kPatternBegin, kPatternEnd}, shards, std::nullopt});
  return load;
}

std::vector<LoadPattern> LoadPatterns() {
  const RelayLoad sound = MakeSoundLoad();
  const auto with = [&](LeafFaultKind kind, double strength,
                        std::size_t shards) {
    return WithFault(sound, kind, strength, shards);
  };
  return {
      {"sound", sound},
      {"slow 7, 6 shards", with(LeafFaultKind::kSlow, 7, 6)},
      {"slow 11, 6 shards", with(LeafFaultKind::kSlow, 11, 6)},
      {"slow 7, 20 shards", with(LeafFaultKind::kSlow, 7, 20)},
      {"shed 0.6, 20 shards", with(LeafFaultKind::kShed, 0.6, 20)},
      {"errors 0.4, 6 shards", with(LeafFaultKind::kErrors, 0.4, 6)},
      {"errors 0.4, 20 shards", with(LeafFaultKind::kErrors, 0.4, 20)},
      {"burst 2", WithBurst(sound, 2)},
      {"burst 1.6, slow 7, 6 shards",
       WithBurst(with(LeafFaultKind::kSlow, 7, 6), 1.6)},
  };
}

}  // namespace bramleyspoke::Harness
