#include "shard_bound.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "model_leaf.h"

namespace bramleyspoke::Harness {
namespace {

constexpr TimePoint kBegin{std::chrono::hours(1)};

struct Arrival {
  std::size_t load_class = 0;
  TimePoint at;
  std::size_t region = 0;
  std::size_t parts_in_time = 0;
};

// The slots of one leaf, each with the time from which it is free.
struct LeafSlots {
  std::size_t region = 0;
  StallSchedule stalls;
  std::vector<LeafFault> faults;
  std::vector<TimePoint> free_from;

  double SlownessAt(TimePoint time) const {
    for (const LeafFault& fault : faults) {
      const Duration since = time - kBegin;
      if (fault.kind == LeafFaultKind::kSlow && since >= fault.from &&
          since < fault.until) {
        return fault.strength;
      }
    }
    return 1;
  }
};

class Bound {
 public:
  explicit Bound(const RelayLoad& load) : m_load(load), m_random(load.seed) {}

  double MeanCredit(Duration from, Duration until) {
    MakeArrivals();
    for (std::size_t shard = 0; shard < m_load.fleet.shards; ++shard) {
      PlayShard(shard);
    }
    double credit = 0;
    std::size_t count = 0;
    for (const Arrival& arrival : m_arrivals) {
      const Duration since = arrival.at - kBegin;
      if (since >= from && since < until) {
        credit += CreditOf(arrival);
        ++count;
      }
    }
    return count == 0 ? 0 : credit / static_cast<double>(count);
  }

 private:
  double CreditOf(const Arrival& arrival) const {
    const double coverage = static_cast<double>(arrival.parts_in_time) /
                            static_cast<double>(m_load.fleet.shards);
    const double needed = m_load.classes[arrival.load_class].min_coverage;
    return coverage < needed ? 0 : coverage * coverage;
  }

  void MakeArrivals() {
    std::vector<std::size_t> regions;
    for (std::size_t i = 0; i < m_load.fleet.daemons.size(); ++i) {
      regions.insert(regions.end(), m_load.fleet.daemons[i], i);
    }
    std::uniform_int_distribution<std::size_t> choice(0, regions.size() - 1);
    for (std::size_t index = 0; index < m_load.classes.size(); ++index) {
      TimePoint at = kBegin;
      while (at < kBegin + m_load.length) {
        const double rate =
            m_load.classes[index].per_second * m_load.RateFactor(at - kBegin);
        std::exponential_distribution<double> gap(rate);
        at += std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(gap(m_random)));
        m_arrivals.push_back({index, at, regions[choice(m_random)], 0});
      }
    }
    std::sort(m_arrivals.begin(), m_arrivals.end(),
              [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  }

  void PlayShard(std::size_t shard) {
    std::vector<LeafSlots> leafs;
    std::uniform_real_distribution<double> phase(0, 1);
    const std::vector<std::size_t>& regions = m_load.fleet.leaf_regions;
    for (std::size_t leaf = 0; leaf < regions.size(); ++leaf) {
      leafs.push_back(
          {regions[leaf],
           StallSchedule(m_load.fleet.leafs, kBegin, phase(m_random)),
           m_load.FaultsOf(shard, leaf),
           std::vector<TimePoint>(m_load.fleet.leafs.slots, kBegin)});
    }
    for (Arrival& arrival : m_arrivals) {
      const LoadClass& load_class = m_load.classes[arrival.load_class];
      const Duration work = load_class.work.Sample(m_random);
      arrival.parts_in_time +=
          Place(leafs, arrival, work, arrival.at + load_class.target_latency)
              ? 1
              : 0;
    }
  }

  bool Place(std::vector<LeafSlots>& leafs,
             const Arrival& arrival,
             Duration work,
             TimePoint due) const {
    TimePoint* best = nullptr;
    TimePoint best_answer;
    TimePoint best_end;
    for (LeafSlots& leaf : leafs) {
      const Duration delay = leaf.region == arrival.region
                                 ? m_load.fleet.near_delay
                                 : m_load.fleet.far_delay;
      for (TimePoint& free_from : leaf.free_from) {
        const TimePoint start =
            leaf.stalls.After(std::max(free_from, arrival.at + delay));
        const auto time =
            std::chrono::duration_cast<Duration>(work * leaf.SlownessAt(start));
        const TimePoint end = leaf.stalls.EndOf(start, time);
        if (best == nullptr || end + delay < best_answer) {
          best = &free_from;
          best_end = end;
          best_answer = end + delay;
        }
      }
    }
    if (best == nullptr || best_answer > due) {
      return false;
    }
    *best = best_end;
    return true;
  }

  const RelayLoad& m_load;
  std::mt19937_64 m_random;
  std::vector<Arrival> m_arrivals;
};

}  // namespace

double BestMeanCredit(const RelayLoad& load, Duration from, Duration until) {
  return Bound(load).MeanCredit(from, until);
}

}  // namespace bramleyspoke::Harness
