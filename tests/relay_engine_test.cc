#include "request/relay_engine.h"

#include <doctest/doctest.h>

#include "relay_fixture.h"

namespace bramleyspoke {

TEST_CASE("a request to one service is answered by its leaf") {
  RelayFixture fixture;
  fixture.AddLeaf("s0", "a");
  const RelayNumber number = fixture.Submit(0);
  REQUIRE(fixture.sends.size() == 1);
  fixture.Advance(milliseconds(5));
  fixture.Reply("a", LeafReplyKind::kSucceeded);
  CHECK(fixture.Outcome(number).answers.at(0).body == "a");
  CHECK_FALSE(fixture.Outcome(number).refusal);
}

TEST_CASE("a non-idempotent request is retried only if it has not run") {
  RelayFixture fixture;
  fixture.AddLeaf("s0", "a");
  fixture.AddLeaf("s0", "b");
  const RelayNumber number = fixture.Submit(0, RequestKind::kNonIdempotent);
  REQUIRE(fixture.sends.size() == 1);
  const std::string first = fixture.sends.front().leaf_id;
  const std::string other = first == "a" ? "b" : "a";

  SUBCASE("a refused attempt is retried at the other leaf") {
    fixture.Reply(first, LeafReplyKind::kRefused);
    CHECK(fixture.IsSentTo(other));
  }
  SUBCASE(
      "an attempt to an address that now belongs to another leaf is retried") {
    fixture.Reply(first, LeafReplyKind::kOtherLeaf);
    CHECK(fixture.IsSentTo(other));
  }
  SUBCASE(
      "the request ends if the connection is lost, because it may have run") {
    fixture.Reply(first, LeafReplyKind::kLost);
    CHECK(fixture.sends.empty());
    CHECK(fixture.Outcome(number).refusal->verdict == Verdict::kMayHaveRun);
  }
  SUBCASE("the request is not hedged, however long it takes") {
    fixture.Advance(milliseconds(1500));
    CHECK(fixture.sends.size() == 1);
  }
  SUBCASE(
      "at its deadline the request is refused with the verdict may have run") {
    fixture.Advance(milliseconds(2100));
    CHECK(fixture.Outcome(number).refusal->reason ==
          RefusalReason::kDeadlinePassed);
    CHECK(fixture.Outcome(number).refusal->verdict == Verdict::kMayHaveRun);
  }
}

TEST_CASE("a request that cannot be served is refused at once as not run") {
  RelayFixture fixture;
  SUBCASE("the service has no leaf") {
    const RelayNumber number = fixture.Submit(0);
    CHECK(fixture.Outcome(number).refusal->verdict == Verdict::kNotRun);
    CHECK(fixture.Outcome(number).refusal->retry_after);
  }
  SUBCASE("too many shards have no leaf, so no attempt is made") {
    fixture.AddLeaf("s0", "a");
    fixture.AddLeaf("s1", "b");
    const RelayNumber number = fixture.Submit(4);
    CHECK(fixture.Outcome(number).refusal->verdict == Verdict::kNotRun);
    CHECK(fixture.sends.empty());
  }
  SUBCASE("its only leaf has been draining for over a second") {
    fixture.AddLeaf("s0", "a", "d1", true);
    fixture.Advance(milliseconds(1100));
    const RelayNumber number = fixture.Submit(0);
    CHECK(fixture.Outcome(number).refusal->verdict == Verdict::kNotRun);
  }
}

TEST_CASE("an overdue attempt is hedged at another leaf") {
  RelayFixture fixture;
  fixture.AddLeaf("s0", "a");
  fixture.AddLeaf("s0", "b");
  const RelayNumber number = fixture.Submit(0);
  const std::string first = fixture.sends.front().leaf_id;
  const std::string other = first == "a" ? "b" : "a";
  fixture.Advance(milliseconds(60));
  REQUIRE(fixture.IsSentTo(other));

  SUBCASE("the hedge is answered first") {
    fixture.Reply(other, LeafReplyKind::kSucceeded);
    CHECK(fixture.Outcome(number).answers.at(0).body == other);
  }
  SUBCASE("a new request avoids the leaf that has not responded") {
    fixture.Reply(other, LeafReplyKind::kSucceeded);
    fixture.Submit(0);
    CHECK(fixture.IsSentTo(other));
  }
}

TEST_CASE("no request makes more attempts than its route allows") {
  RelayFixture fixture;
  fixture.AddLeaf("s0", "a");
  fixture.AddLeaf("s0", "b");
  fixture.AddLeaf("s0", "c");
  const RelayNumber number = fixture.Submit(0);
  const std::string first = fixture.sends.front().leaf_id;
  fixture.Reply(first, LeafReplyKind::kLost);
  REQUIRE(fixture.sends.size() == 1);
  fixture.Reply(fixture.sends.front().leaf_id, LeafReplyKind::kLost);
  CHECK(fixture.sends.empty());
  CHECK(fixture.Outcome(number).refusal->verdict == Verdict::kMayHaveRun);
}

TEST_CASE(
    "with an empty retry budget at most one of five requests is retried") {
  RelayFixture fixture({0, 0});
  fixture.AddLeaf("s0", "a");
  fixture.AddLeaf("s0", "b");
  for (int i = 0; i < 5; ++i) {
    fixture.Submit(0);
    fixture.Reply(fixture.sends.back().leaf_id, LeafReplyKind::kLost);
    fixture.Advance(milliseconds(200));
  }
  CHECK(fixture.engine.Counters().retries <= 1);
}

TEST_CASE("a fan-out waits for stragglers until its answer is due") {
  RelayFixture fixture;
  for (int shard = 0; shard < 4; ++shard) {
    const std::string name = "s" + std::to_string(shard);
    fixture.AddLeaf(name, name + "-a");
  }
  const RelayNumber number = fixture.Submit(4);
  for (const char* leaf : {"s0-a", "s1-a", "s2-a"}) {
    fixture.Reply(leaf, LeafReplyKind::kSucceeded);
  }
  fixture.Advance(milliseconds(180));
  CHECK_FALSE(fixture.outcomes.contains(number));

  SUBCASE("when due, the answer has the shards that replied") {
    fixture.Advance(milliseconds(15));
    CHECK(fixture.Outcome(number).answers.size() == 3);
    CHECK(fixture.Outcome(number).missing_shards == 1);
  }
  SUBCASE("the last shard completes the answer") {
    fixture.Reply("s3-a", LeafReplyKind::kSucceeded);
    CHECK(fixture.Outcome(number).missing_shards == 0);
  }
  SUBCASE("a failed shard is not waited for") {
    fixture.Reply("s3-a", LeafReplyKind::kNotSent);
    CHECK(fixture.Outcome(number).missing_shards == 1);
  }
}

TEST_CASE(
    "a caller's disconnect cancels attempts only of an idempotent request") {
  RelayFixture fixture;
  fixture.AddLeaf("s0", "a");
  SUBCASE("an idempotent request is cancelled") {
    const RelayNumber number = fixture.Submit(0);
    fixture.CollectActions(
        fixture.engine.OnCallerDisconnected(number, fixture.now));
    fixture.Advance(milliseconds(400));
    CHECK(fixture.cancellations.size() == 1);
  }
  SUBCASE("a non-idempotent request runs to its end") {
    const RelayNumber number = fixture.Submit(0, RequestKind::kNonIdempotent);
    fixture.CollectActions(
        fixture.engine.OnCallerDisconnected(number, fixture.now));
    fixture.Advance(milliseconds(400));
    CHECK(fixture.cancellations.empty());
  }
}

TEST_CASE("a restarted leaf with the same id is treated as a new leaf") {
  RelayFixture fixture;
  fixture.AddLeaf("s0", "a");
  fixture.Submit(0);
  fixture.Reply("a", LeafReplyKind::kNotSent);
  const RelayNumber refused = fixture.Submit(0);
  CHECK(fixture.Outcome(refused).refusal);
  fixture.leafs.front().started_at_ms = 7;
  fixture.CollectActions(fixture.engine.SetLeafs(fixture.leafs, fixture.now));
  fixture.Submit(0);
  CHECK(fixture.IsSentTo("a"));
}

TEST_CASE("weighted services share requests in proportion to their weights") {
  WeightedRoundRobin rotation;
  const std::vector<WeightedService> services{{"a", 3}, {"b", 1}};
  std::vector<int> counts(2);
  for (int i = 0; i < 40; ++i) {
    ++counts[rotation.Next("route", services)];
  }
  CHECK(counts == std::vector{30, 10});
}

namespace {

// Service "s0" has a near and a far leaf. The near leaf stalls every six
// seconds, as do the leafs of another service; its current stall ends after
// `left`.
struct StallingLeaf : RelayFixture {
  explicit StallingLeaf(Duration left) {
    AddLeaf("s0", "s0-near");
    AddLeaf("s0", "s0-far", "d2");
    for (int i = 0; i < 5; ++i) {
      AddLeaf("other", "other-" + std::to_string(i));
    }
    const TimePoint end = now + left;
    for (int round = 2; round > 0; --round) {
      const TimePoint then = end - std::chrono::seconds(6) * round;
      Stall("other", then);
      Stall("s0", then);
    }
  }

  void Stall(const std::string& service, TimePoint end) {
    for (const auto& leaf : engine.Leafs().Services().at(service)->leafs) {
      if (leaf->is_near) {
        leaf->load.NoteStall(end - milliseconds(250), end);
      }
    }
  }
};

}  // namespace

TEST_CASE(
    "a near leaf with a predicted stall is chosen if the stall ends in time") {
  SUBCASE("the stall ends soon") {
    StallingLeaf relay(milliseconds(60));
    relay.Submit(0);
    CHECK(relay.IsSentTo("s0-near"));
    SUBCASE("no hedge is sent before its predicted end") {
      relay.Advance(milliseconds(60));
      CHECK_FALSE(relay.IsSentTo("s0-far"));
    }
    SUBCASE("a hedge is sent if the stall lasts longer") {
      relay.Advance(milliseconds(150));
      CHECK(relay.IsSentTo("s0-far"));
    }
  }
  SUBCASE("the stall ends too late for a hedge at the far leaf") {
    StallingLeaf relay(milliseconds(180));
    relay.Submit(0);
    CHECK(relay.IsSentTo("s0-far"));
  }
}

}  // namespace bramleyspoke
