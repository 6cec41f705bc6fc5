#include <doctest/doctest.h>

#include "engine_fixture.h"
#include "request/ejection.h"
#include "request/extra_load_budget.h"
#include "request/latency_histogram.h"
#include "request/replica_chooser.h"
#include "request/slot_share.h"
#include "request/snapshot_chooser.h"

namespace bramleyspoke {
namespace {

/// Leafs of one layout, all with index version 1.
struct ReplicaTableFixture {
  explicit ReplicaTableFixture(std::uint32_t replicas,
                               std::uint32_t shards = 1) {
    const ServiceRoute route = MakeRoute(shards, replicas);
    plan = LayoutPlan::Create(route.spec.layouts[0], "", false, table, now);
    for (ShardPlan& shard : plan->Shards()) {
      for (const ReplicaPlan& replica : shard.replicas) {
        table.At(replica.leaf).versions = {{1, "a"}};
      }
    }
  }

  LeafRecord& At(std::uint32_t replica, std::uint32_t shard = 0) {
    return table.At(plan->Shards()[shard].replicas[replica].leaf);
  }

  /// How many of 1000 choices select the replica.
  int CountChosen(std::uint32_t replica) {
    ReplicaChooser chooser(table, 1);
    int chosen = 0;
    for (int i = 0; i < 1000; ++i) {
      const Choice choice = chooser.Choose(
          plan->Shards()[0], {{1, "a"}, 0, 2, milliseconds(5)}, now);
      chosen += choice.kind == ChoiceKind::kReplica && choice.replica == replica
                    ? 1
                    : 0;
    }
    return chosen;
  }

  ReplicaTable table;
  std::shared_ptr<LayoutPlan> plan;
  TimePoint now{std::chrono::hours(1)};
};

}  // namespace

TEST_CASE("replicas are chosen by the daemon's own observations") {
  ReplicaTableFixture leafs(2);
  SUBCASE("a slow replica is avoided until the observation is old") {
    leafs.At(0).latency = milliseconds(50);
    leafs.At(0).latency_at = leafs.now;
    leafs.At(1).latency = milliseconds(5);
    leafs.At(1).latency_at = leafs.now;
    CHECK(leafs.CountChosen(0) == 0);
    leafs.now += std::chrono::minutes(1);
    CHECK(leafs.CountChosen(0) > 300);
  }
  SUBCASE("a wrong reported load does not outweigh attempts in flight") {
    leafs.At(0).in_flight = 1;
    leafs.At(1).reported_load = 1;
    CHECK(leafs.CountChosen(1) == 1000);
  }
  SUBCASE("the load of a cold replica grows gradually") {
    leafs.At(0).cold_since = leafs.now;
    const int at_first = leafs.CountChosen(0);
    leafs.now += std::chrono::seconds(5);
    const int half_way = leafs.CountChosen(0);
    leafs.now += std::chrono::seconds(5);
    CHECK(at_first < 50);
    CHECK(half_way > 150);
    CHECK(half_way < 350);
    CHECK(leafs.CountChosen(0) > 400);
  }
  SUBCASE("a replica whose slot share is used up is not chosen") {
    leafs.At(0).in_flight = 2;
    CHECK(leafs.CountChosen(0) == 0);
  }
}

TEST_CASE(
    "failing leafs are ejected temporarily, and half of a shard's leafs stay "
    "in use") {
  ReplicaTableFixture leafs(4);
  std::vector<bool> ejected;
  for (std::uint32_t replica = 0; replica < 4; ++replica) {
    for (int i = 0; i < 3; ++i) {
      EjectionPolicy::OnFailure(leafs.At(replica), leafs.table, leafs.now);
    }
    ejected.push_back(EjectionPolicy::IsEjected(leafs.At(replica), leafs.now));
  }
  CHECK(ejected == std::vector<bool>{true, true, false, false});
  leafs.now += std::chrono::seconds(1);
  CHECK_FALSE(EjectionPolicy::IsEjected(leafs.At(0), leafs.now));
  // After an ejection, a single failure ejects the leaf again, and for longer.
  EjectionPolicy::OnFailure(leafs.At(0), leafs.table, leafs.now);
  leafs.now += milliseconds(1500);
  CHECK(EjectionPolicy::IsEjected(leafs.At(0), leafs.now));
}

TEST_CASE("the newest snapshot with the highest coverage is chosen") {
  ReplicaTableFixture leafs(2, 2);
  const std::vector<std::shared_ptr<LayoutPlan>> plans = {leafs.plan};
  const auto chosen = [&] {
    const std::optional<Snapshot> snapshot = ChooseSnapshot(plans, leafs.table);
    return snapshot ? snapshot->version.number : 0;
  };
  leafs.At(0, 0).versions.push_back({2, "a"});
  CHECK(chosen() == 1);
  leafs.At(0, 1).versions.push_back({2, "a"});
  CHECK(chosen() == 2);
  SUBCASE("versions on a leaving leaf do not count") {
    leafs.At(0, 1).is_leaving = true;
    CHECK(chosen() == 1);
  }
  SUBCASE(
      "versions on an unreachable leaf do not count if others are reachable") {
    leafs.At(0, 1).is_reachable = false;
    CHECK(chosen() == 1);
  }
  SUBCASE("if all leafs are unreachable, their last known versions count") {
    for (std::uint32_t shard = 0; shard < 2; ++shard) {
      leafs.At(0, shard).is_reachable = false;
      leafs.At(1, shard).is_reachable = false;
    }
    CHECK(chosen() == 2);
  }
  SUBCASE("a version whose layout is not in the manifest is not chosen") {
    leafs.At(0, 0).versions.push_back({9, "z"});
    leafs.At(0, 1).versions.push_back({9, "z"});
    CHECK(chosen() == 2);
  }
}

TEST_CASE("reports about an earlier process do not affect the current one") {
  ReplicaTableFixture leafs(1);
  ReplicaTable& table = leafs.table;
  table.OnIncarnation(0, "1", leafs.now, leafs.now);
  table.OnIncarnation(0, "2", leafs.now, leafs.now);
  table.OnIncarnation(0, "1", leafs.now + milliseconds(1), leafs.now);
  CHECK(table.At(0).incarnation == "2");
  table.OnDrain(0, "1", leafs.now);
  CHECK(table.At(0).IsOpen());
  // A peer may know a newer process than the one known here.
  table.OnDrain(0, "3", leafs.now);
  CHECK_FALSE(table.At(0).IsOpen());
  table.OnIncarnation(0, "2", leafs.now + milliseconds(1), leafs.now);
  CHECK(table.At(0).IsOpen());
}

TEST_CASE("a holder's slot share is a whole number and at least one") {
  struct Row {
    std::uint32_t slots, holders, share;
  };
  for (const Row& row :
       {Row{2, 2, 1}, Row{6, 2, 3}, Row{3, 2, 1}, Row{2, 3, 1}, Row{6, 1, 6}}) {
    ServiceRoute route = MakeRoute(1, 1);
    route.spec.slots = row.slots;
    route.holders.resize(row.holders);
    CAPTURE(row.slots);
    CHECK(SlotShare(route) == row.share);
  }
}

TEST_CASE("quantiles are accurate to 1/8 and old latencies decay") {
  LatencyHistogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.Record(milliseconds(i));
  }
  CHECK(histogram.Quantile(0.5) >= milliseconds(500));
  CHECK(histogram.Quantile(0.5) <= milliseconds(565));
  CHECK(histogram.Quantile(0.99) >= milliseconds(990));
  for (int i = 0; i < 50000; ++i) {
    histogram.Record(milliseconds(2));
  }
  CHECK(histogram.Quantile(0.99) < milliseconds(3));
}

TEST_CASE("hedges leave a reserve of the budget for retries") {
  ExtraLoadBudget budget;
  budget.SetPercent(5);
  while (budget.TakeForHedge()) {
  }
  CHECK(budget.TakeForRetry());
  while (budget.TakeForRetry()) {
  }
  for (int i = 0; i < 19; ++i) {
    budget.OnNeededAttempt();
  }
  CHECK_FALSE(budget.TakeForRetry());
  budget.OnNeededAttempt();
  budget.OnNeededAttempt();
  CHECK(budget.TakeForRetry());
}

}  // namespace bramleyspoke
