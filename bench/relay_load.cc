#include "relay_load.h"

#include <algorithm>

#include "replayed_fleet.h"

namespace bramleyspoke::Harness {

double RelayLoad::RateFactor(Duration time) const {
  for (const LoadBurst& burst : bursts) {
    if (time >= burst.from && time < burst.until) {
      return burst.factor;
    }
  }
  return 1;
}

std::vector<LeafFault> RelayLoad::FaultsOf(std::size_t shard,
                                           std::size_t leaf) const {
  std::vector<LeafFault> found;
  for (const LoadFault& fault : faults) {
    const std::size_t hit =
        fault.leaf.value_or(shard % fleet.leaf_regions.size());
    if (shard < fault.shards && leaf == hit) {
      found.push_back(fault.fault);
    }
  }
  return found;
}

double LoadFigures::MeanCredit() const {
  return asked == 0 ? 0 : credit / static_cast<double>(asked);
}

void LoadFigures::Add(const LoadFigures& other) {
  asked += other.asked;
  in_time += other.in_time;
  complete += other.complete;
  late += other.late;
  refused += other.refused;
  failed += other.failed;
  credit += other.credit;
  longest_wait_in_vain =
      std::max(longest_wait_in_vain, other.longest_wait_in_vain);
}

LoadFigures RelayLoadReport::Between(Duration from, Duration until) const {
  LoadFigures sum;
  for (std::size_t second = 0; second < by_second.size(); ++second) {
    const Duration at = std::chrono::seconds(second);
    if (at >= from && at < until) {
      sum.Add(by_second[second]);
    }
  }
  return sum;
}

RelayLoadReport Replay(const RelayLoad& load) {
  return ReplayedFleet(load).Run();
}

}  // namespace bramleyspoke::Harness
