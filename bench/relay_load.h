#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "model_leaf.h"
#include "request/retry_budget.h"

namespace bramleyspoke::Harness {

/// Requests of one kind, each to all shards.
struct LoadClass {
  std::string name;
  double per_second = 0;
  WorkTime work;
  Duration target_latency{0};
  Duration timeout{0};
  double min_coverage = 0;
  std::uint32_t priority = 0;
};

/// Daemons and leafs of a replayed load.
struct LoadFleet {
  /// Number of daemons by region; regions are numbered from 0.
  std::vector<std::size_t> daemons;
  std::size_t shards = 0;
  /// Region of each leaf of a shard.
  std::vector<std::size_t> leaf_regions;
  LeafCapacity leafs;
  std::uint32_t connections_per_leaf = 26;
  /// One way between two regions, and within a region.
  Duration far_delay = std::chrono::milliseconds(20);
  Duration near_delay = std::chrono::microseconds(200);
  RetryAllowance allowance;
  std::uint32_t max_attempts = 2;
};

/// A time in which more requests arrive.
struct LoadBurst {
  Duration from{0};
  Duration until{0};
  double factor = 1;
};

/// A fault of one leaf of each of the first `shards` shards.
struct LoadFault {
  LeafFault fault;
  std::size_t shards = 0;
  /// Index of the leaf in its shard; spread over both if not set.
  std::optional<std::size_t> leaf;
};

struct RelayLoad {
  LoadFleet fleet;
  std::vector<LoadClass> classes;
  std::vector<LoadFault> faults;
  std::vector<LoadBurst> bursts;
  Duration length = std::chrono::seconds(20);
  std::uint64_t seed = 1;

  /// Factor of the request rates at a time since the begin.
  double RateFactor(Duration time) const;
  std::vector<LeafFault> FaultsOf(std::size_t shard, std::size_t leaf) const;
};

/// What became of the requests of a class, or of all, in a span of time.
struct LoadFigures {
  std::size_t asked = 0;
  /// Answered within the target latency, with at least the minimum coverage.
  std::size_t in_time = 0;
  /// Of these, the answers with all shards.
  std::size_t complete = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
  /// Ended with neither an answer nor a refusal that says "not run".
  std::size_t failed = 0;
  /// Of 1 for each complete answer in time: less by the square of the coverage,
  /// and a tenth if late.
  double credit = 0;
  /// Time until the end of requests that were not answered.
  Duration longest_wait_in_vain{0};

  double MeanCredit() const;
  void Add(const LoadFigures& other);
};

/// What leafs received.
struct LeafFigures {
  std::size_t arrivals = 0;
  std::size_t refused = 0;
  /// Arrivals beyond the first of each part.
  std::size_t repeats = 0;
};

struct RelayLoadReport {
  /// By class, in the order of the load.
  std::vector<LoadFigures> by_class;
  /// By second of arrival.
  std::vector<LoadFigures> by_second;
  LeafFigures faulty_leafs;
  LeafFigures sound_leafs;

  /// The requests that arrived in a span.
  LoadFigures Between(Duration from, Duration until) const;
};

/// Plays a load against relay engines and modelled leafs, in simulated time:
/// the same load and seed give the same report.
RelayLoadReport Replay(const RelayLoad& load);

}  // namespace bramleyspoke::Harness
