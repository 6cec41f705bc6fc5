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

/// One shard's leafs, all with version 1.
struct Leafs {
  explicit Leafs(std::uint32_t replicas, std::uint32_t shards = 1) {
    const ServiceRoute route = MakeRoute(shards, replicas);
    plan = LayoutPlan::Create(route.spec.layouts[0], "", false, book, now);
    for (ShardPlan& shard : plan->Shards()) {
      for (const ReplicaPlan& replica : shard.replicas) {
        book.At(replica.leaf).versions = {{1, "a"}};
      }
    }
  }

  LeafState& At(std::uint32_t replica, std::uint32_t shard = 0) {
    return book.At(plan->Shards()[shard].replicas[replica].leaf);
  }

  /// Times that the replica was chosen, out of a thousand.
  int ChosenOf(std::uint32_t replica) {
    ReplicaChooser chooser(book, 1);
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

  ReplicaBook book;
  std::shared_ptr<LayoutPlan> plan;
  TimePoint now{std::chrono::hours(1)};
};

}  // namespace

TEST_CASE("own observations decide between replicas") {
  Leafs leafs(2);
  SUBCASE("the slower one is left alone, until that was long ago") {
    leafs.At(0).latency = milliseconds(50);
    leafs.At(0).latency_at = leafs.now;
    leafs.At(1).latency = milliseconds(5);
    leafs.At(1).latency_at = leafs.now;
    CHECK(leafs.ChosenOf(0) == 0);
    leafs.now += std::chrono::minutes(1);
    CHECK(leafs.ChosenOf(0) > 300);
  }
  SUBCASE("a reported load that lies does not outweigh attempts in flight") {
    leafs.At(0).in_flight = 1;
    leafs.At(1).reported_load = 1;
    CHECK(leafs.ChosenOf(1) == 1000);
  }
  SUBCASE("a cold one is eased in") {
    leafs.At(0).cold_since = leafs.now;
    const int at_first = leafs.ChosenOf(0);
    leafs.now += std::chrono::seconds(5);
    const int half_way = leafs.ChosenOf(0);
    leafs.now += std::chrono::seconds(5);
    CHECK(at_first < 50);
    CHECK(half_way > 150);
    CHECK(half_way < 350);
    CHECK(leafs.ChosenOf(0) > 400);
  }
  SUBCASE("one with all its share of slots taken gets nothing") {
    leafs.At(0).in_flight = 2;
    CHECK(leafs.ChosenOf(0) == 0);
  }
}

TEST_CASE("failing leafs are ejected for a while, never below the floor") {
  Leafs leafs(4);
  std::vector<bool> ejected;
  for (std::uint32_t replica = 0; replica < 4; ++replica) {
    for (int i = 0; i < 3; ++i) {
      EjectionPolicy::OnFailure(leafs.At(replica), leafs.book, leafs.now);
    }
    ejected.push_back(EjectionPolicy::IsEjected(leafs.At(replica), leafs.now));
  }
  CHECK(ejected == std::vector<bool>{true, true, false, false});
  leafs.now += std::chrono::seconds(1);
  CHECK_FALSE(EjectionPolicy::IsEjected(leafs.At(0), leafs.now));
  // One more failure is enough now, and it lasts longer.
  EjectionPolicy::OnFailure(leafs.At(0), leafs.book, leafs.now);
  leafs.now += milliseconds(1500);
  CHECK(EjectionPolicy::IsEjected(leafs.At(0), leafs.now));
}

TEST_CASE("the snapshot is the newest of those with the most coverage") {
  Leafs leafs(2, 2);
  const std::vector<std::shared_ptr<LayoutPlan>> plans = {leafs.plan};
  const auto chosen = [&] {
    const std::optional<Snapshot> snapshot = ChooseSnapshot(plans, leafs.book);
    return snapshot ? snapshot->version.number : 0;
  };
  leafs.At(0, 0).versions.push_back({2, "a"});
  CHECK(chosen() == 1);
  leafs.At(0, 1).versions.push_back({2, "a"});
  CHECK(chosen() == 2);
  SUBCASE("of a leaf that leaves, nothing counts") {
    leafs.At(0, 1).is_leaving = true;
    CHECK(chosen() == 1);
  }
  SUBCASE("of a leaf out of reach, nothing counts while others have some") {
    leafs.At(0, 1).is_reachable = false;
    CHECK(chosen() == 1);
  }
  SUBCASE("with all out of reach, what they had counts") {
    for (std::uint32_t shard = 0; shard < 2; ++shard) {
      leafs.At(0, shard).is_reachable = false;
      leafs.At(1, shard).is_reachable = false;
    }
    CHECK(chosen() == 2);
  }
  SUBCASE("a version of a layout that the manifest lacks is not taken") {
    leafs.At(0, 0).versions.push_back({9, "z"});
    leafs.At(0, 1).versions.push_back({9, "z"});
    CHECK(chosen() == 2);
  }
}

TEST_CASE("word of an earlier process does not undo the current one") {
  Leafs leafs(1);
  ReplicaBook& book = leafs.book;
  book.OnIncarnation(0, "1", leafs.now, leafs.now);
  book.OnIncarnation(0, "2", leafs.now, leafs.now);
  book.OnIncarnation(0, "1", leafs.now + milliseconds(1), leafs.now);
  CHECK(book.At(0).incarnation == "2");
  book.OnDrain(0, "1", leafs.now);
  CHECK(book.At(0).IsOpen());
  // A peer may know of a process that is newer than the one known here.
  book.OnDrain(0, "3", leafs.now);
  CHECK_FALSE(book.At(0).IsOpen());
  book.OnIncarnation(0, "2", leafs.now + milliseconds(1), leafs.now);
  CHECK(book.At(0).IsOpen());
}

TEST_CASE("a holder's share of the slots is whole and at least one") {
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

TEST_CASE("quantiles are right to an eighth, and old latencies fade") {
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

TEST_CASE("hedges leave a reserve of the budget to retries") {
  ExtraLoadBudget budget;
  budget.SetPercent(5);
  while (budget.TakeForHedge()) {
  }
  CHECK(budget.TakeForRetry());
  while (budget.TakeForRetry()) {
  }
  for (int i = 0; i < 19; ++i) {
    budget.OnNeeded();
  }
  CHECK_FALSE(budget.TakeForRetry());
  budget.OnNeeded();
  budget.OnNeeded();
  CHECK(budget.TakeForRetry());
}

}  // namespace bramleyspoke
