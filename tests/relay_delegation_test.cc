#include <doctest/doctest.h>

#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

/// Four shards, each with a leaf in two other regions, and a peer in each of
/// the regions.
struct FarShards : RelayFixture {
  explicit FarShards(RetryAllowance allowance = {1, 100})
      : RelayFixture(allowance) {
    for (int shard = 0; shard < 4; ++shard) {
      const std::string name = "s" + std::to_string(shard);
      AddLeaf(name, name + "-2", "d2");
      AddLeaf(name, name + "-3", "d3");
    }
    engine.SetPeers(
        {{{"127.0.0.2", 1}, "r2", "d2"}, {{"127.0.0.3", 1}, "r3", "d3"}});
    Advance(RelayEngine::kLeafSetSettleTime);
  }

  void ReplyFromPeer(std::vector<std::size_t> covered,
                     std::vector<UncoveredShard> uncovered = {}) {
    DelegationReply reply;
    reply.kind = LeafReplyKind::kSucceeded;
    reply.covered = std::move(covered);
    reply.uncovered = std::move(uncovered);
    CollectActions(engine.OnDelegationReply(delegations.back().number,
                                            std::move(reply), now));
  }

  void LosePeer() {
    DelegationReply reply;
    reply.kind = LeafReplyKind::kLost;
    CollectActions(engine.OnDelegationReply(delegations.back().number,
                                            std::move(reply), now));
  }
};

}  // namespace

// Guards against two peers' answers that both contain a shard: one that was
// handed over to the second peer while the first one still had it.
TEST_CASE("a shard that two peers answer is in the answer once") {
  FarShards fixture;
  const RelayNumber number = fixture.Submit(4);
  REQUIRE(fixture.delegations.size() == 1);
  const auto reply = [&](const RelayDelegation& delegation,
                         const std::string& name,
                         std::vector<std::size_t> covered,
                         std::vector<UncoveredShard> uncovered = {}) {
    DelegationReply made;
    made.kind = LeafReplyKind::kSucceeded;
    made.covered = std::move(covered);
    made.uncovered = std::move(uncovered);
    made.answer.body = name;
    fixture.CollectActions(fixture.engine.OnDelegationReply(
        delegation.number, std::move(made), fixture.now));
  };
  // The peer is late, so that all shards are hedged.
  while (fixture.sends.size() < 4) {
    fixture.Advance(milliseconds(1));
  }
  fixture.Reply("s2-2", LeafReplyKind::kFailed);
  const RelayDelegation first = fixture.delegations.front();
  fixture.delegations.clear();
  reply(first, "first", {0}, {{1, 1, true}, {2, 1, true}, {3, 1, true}});
  // No leaf is reached from now on. Shard 2 is continued at the first peer,
  // which still has 1 and 3 as well; these are handed over.
  fixture.probes = ProbeAnswer::kNone;
  for (int step = 0; step < 1000 && fixture.delegations.size() < 2; ++step) {
    fixture.Advance(milliseconds(1));
  }
  REQUIRE(fixture.delegations.size() == 2);
  const RelayDelegation continuation = fixture.delegations[0];
  const RelayDelegation hand_over = fixture.delegations[1];
  REQUIRE(continuation.is_continuation);
  REQUIRE(hand_over.shards == std::vector<std::string>{"s1", "s3"});

  reply(hand_over, "1 and 3", {0, 1});
  if (!fixture.outcomes.contains(number)) {
    reply(continuation, "1, 2 and 3", {1, 2, 3});
  }
  fixture.Advance(milliseconds(2500));
  std::vector<std::string> answers;
  for (const HttpResponse& answer : fixture.Outcome(number).answers) {
    answers.push_back(answer.body);
  }
  CHECK(answers == std::vector<std::string>{"first", "1 and 3"});
}

// The first arrival is free, also if a peer's leaf rejected it.
TEST_CASE("a retry of what leafs rejected at a peer is charged") {
  FarShards fixture(RetryAllowance{0, 0});
  fixture.Submit(4);

  SUBCASE("rejected at the peer") {
    fixture.ReplyFromPeer({0, 1}, {{2, 0, false, true}, {3, 0, false, true}});
    fixture.Advance(milliseconds(300));
    CHECK(fixture.sends.empty());
  }
  SUBCASE("not sent by the peer") {
    fixture.ReplyFromPeer({0, 1}, {{2, 0, false, false}, {3, 0, false, false}});
    fixture.Advance(milliseconds(300));
    CHECK(fixture.sends.size() == 2);
  }
  SUBCASE("pending at the peer, which can no longer be asked") {
    fixture.ReplyFromPeer({0}, {{1, 0, true}, {2, 0, true}, {3, 0, true}});
    fixture.Advance(milliseconds(200));
    REQUIRE(fixture.delegations.back().is_continuation);
    fixture.CollectActions(fixture.engine.OnDelegationReply(
        fixture.delegations.back().number, {}, fixture.now));
    fixture.Advance(milliseconds(50));
    CHECK(fixture.sends.empty());
  }
}

TEST_CASE("a request that a peer gives back is credited once") {
  FarShards fixture(RetryAllowance{1, 0});
  DelegationReply reply;
  reply.kind = LeafReplyKind::kSucceeded;
  reply.is_cut_off = true;
  reply.uncovered = {{0}, {1}, {2}, {3}};
  const auto give_back = [&] {
    fixture.CollectActions(fixture.engine.OnDelegationReply(
        fixture.delegations.back().number, reply, fixture.now));
  };

  SUBCASE("and goes to another peer") {
    fixture.Submit(4);
    const double credit = fixture.engine.Leafs().LeastBudget();
    CHECK(fixture.delegations.back().credited == std::vector<bool>(4, false));
    give_back();
    CHECK(fixture.engine.Leafs().LeastBudget() == credit);
    REQUIRE(fixture.delegations.size() == 2);
    CHECK(fixture.delegations.back().credited == std::vector<bool>(4, true));
  }
  SUBCASE("and goes to the leafs") {
    fixture.engine.SetPeers({{{"127.0.0.2", 1}, "r2", "d2"}});
    fixture.Submit(4);
    REQUIRE(fixture.delegations.size() == 1);
    const double credit = fixture.engine.Leafs().LeastBudget();
    give_back();
    CHECK(fixture.sends.size() == 4);
    CHECK(fixture.engine.Leafs().LeastBudget() == credit);
  }
  SUBCASE("and was credited before it reached this daemon") {
    fixture.is_for_peer = true;
    fixture.credited = std::vector<bool>(4, true);
    fixture.Submit(4);
    CHECK(fixture.sends.size() == 4);
    CHECK(fixture.engine.Leafs().LeastBudget() == 0);
  }
}

TEST_CASE("shards of another region are requested in one delegation") {
  FarShards fixture;
  const RelayNumber number = fixture.Submit(4);
  REQUIRE(fixture.delegations.size() == 1);
  CHECK(fixture.delegations.front().shards.size() == 4);
  CHECK(fixture.sends.empty());
  fixture.Advance(milliseconds(60));

  SUBCASE("its answer covers all shards") {
    fixture.ReplyFromPeer({0, 1, 2, 3});
    CHECK(fixture.Outcome(number).missing_shards == 0);
    CHECK(fixture.Outcome(number).answers.size() == 1);
  }
  SUBCASE("when due, the answer is sent without the pending shard") {
    fixture.ReplyFromPeer({0, 1, 2}, {{3, 1, true}});
    CHECK_FALSE(fixture.outcomes.contains(number));
    fixture.Advance(milliseconds(140));
    CHECK(fixture.Outcome(number).missing_shards == 1);
    CHECK(fixture.delegations.size() == 1);
  }
  SUBCASE("pending shards are requested if the answer needs them") {
    fixture.ReplyFromPeer({0, 1}, {{2, 1, true}, {3, 1, true}});
    fixture.Advance(milliseconds(140));
    REQUIRE(fixture.delegations.size() == 2);
    CHECK(fixture.delegations.back().is_continuation);
    fixture.ReplyFromPeer({2, 3});
    CHECK(fixture.Outcome(number).missing_shards == 0);
  }
  SUBCASE("the request ends if the peer no longer knows it") {
    fixture.ReplyFromPeer({0, 1}, {{2, 2, true}, {3, 2, true}});
    fixture.Advance(milliseconds(140));
    REQUIRE(fixture.delegations.size() == 2);
    fixture.ReplyFromPeer({});
    CHECK(fixture.outcomes.contains(number));
  }
  SUBCASE(
      "if the connection to the peer is lost, the leafs are queried directly") {
    fixture.LosePeer();
    CHECK(fixture.sends.size() == 4);
  }
}

TEST_CASE(
    "a request that crashed leafs is not delegated until a leaf answers") {
  FarShards fixture;
  fixture.engine.OnPeerCrash({{fixture.fingerprint, "s0"}, 5, fixture.now},
                             fixture.now);
  fixture.Submit(4);
  CHECK(fixture.delegations.empty());
  REQUIRE(fixture.sends.size() == 1);
  fixture.Reply(fixture.sends.front().leaf_id, LeafReplyKind::kSucceeded);
  REQUIRE(fixture.delegations.size() == 1);
  CHECK(fixture.delegations.front().shards.size() == 3);
}

TEST_CASE(
    "shards that a peer's leafs left unanswered are tried one at a time") {
  FarShards fixture;
  fixture.Submit(4);
  REQUIRE(fixture.delegations.size() == 1);
  fixture.ReplyFromPeer(
      {}, {{0, 1, false}, {1, 1, false}, {2, 1, false}, {3, 1, false}});
  fixture.Advance(milliseconds(200));
  CHECK(fixture.sends.size() == 1);
  fixture.Reply(fixture.sends.front().leaf_id, LeafReplyKind::kLost);
  CHECK(fixture.sends.empty());
  CHECK(fixture.Outcome(fixture.last_number).refusal.has_value());
}

// Its retry budget would be used up for nothing.
TEST_CASE("a shard that reached no leaf of a peer is no retry") {
  FarShards fixture(RetryAllowance{0, 0});
  for (int request = 0; request < 10; ++request) {
    fixture.Submit(4);
    REQUIRE(fixture.delegations.size() == 1);
    fixture.ReplyFromPeer({1, 2, 3}, {{0, 0, false}});
    REQUIRE(fixture.sends.size() == 1);
    fixture.Reply(fixture.sends.front().leaf_id, LeafReplyKind::kSucceeded);
    fixture.delegations.clear();
  }
  CHECK(fixture.engine.Counters().retries == 0);
}

TEST_CASE("a shard that a peer leaves out twice is queued once") {
  FarShards fixture;
  fixture.Submit(4);
  REQUIRE(fixture.delegations.size() == 1);
  const auto& waiting = fixture.engine.Leafs().Services().at("s0")->waiting;
  while (waiting.empty()) {
    fixture.Submit(0);
  }
  fixture.ReplyFromPeer({1, 2}, {{0, 1, false}, {3, 1, true}});
  fixture.Advance(milliseconds(200));
  REQUIRE(waiting.size() == 2);
  REQUIRE(fixture.delegations.size() == 2);
  fixture.ReplyFromPeer({}, {{0, 1, false}, {3, 1, true}});
  CHECK(waiting.size() == 2);

  while (!fixture.sends.empty()) {
    fixture.Reply(fixture.sends.front().leaf_id, LeafReplyKind::kSucceeded);
  }
  CHECK(waiting.empty());
}

TEST_CASE("many shards of another failure domain in the region are delegated") {
  constexpr std::size_t kShards = 40;
  RelayFixture fixture;
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    const std::string name = "s" + std::to_string(shard);
    fixture.AddLeaf(name, name + "-leaf", shard % 2 == 0 ? "d1" : "d1b");
  }
  const RelayPeer here{{"127.0.0.2", 1}, "r1", "d1"};
  const RelayPeer there{{"127.0.0.3", 1}, "r1", "d1b"};

  SUBCASE("to a daemon in that failure domain") {
    fixture.engine.SetPeers({here, there});
    fixture.Submit(kShards);
    REQUIRE(fixture.delegations.size() == 1);
    CHECK(fixture.delegations.front().peer == there.address);
    CHECK(fixture.delegations.front().shards.size() == kShards / 2);
    CHECK(fixture.sends.size() == kShards / 2);
  }
  SUBCASE("not if there is no daemon in it") {
    fixture.engine.SetPeers({here});
    fixture.Submit(kShards);
    CHECK(fixture.delegations.empty());
    CHECK(fixture.sends.size() == kShards);
  }
  SUBCASE("not if the shards are few") {
    fixture.engine.SetPeers({here, there});
    fixture.Submit(4);
    CHECK(fixture.delegations.empty());
    CHECK(fixture.sends.size() == 4);
  }
}

TEST_CASE(
    "a shard whose delegation is lost is not retried if that could exceed "
    "max_attempts") {
  FarShards fixture;
  fixture.AddLeaf("s0", "s0-new", "d2");
  fixture.Advance(RelayEngine::kLeafSetSettleTime);
  fixture.Submit(4);
  fixture.LosePeer();
  CHECK(fixture.sends.size() == 3);
  CHECK_FALSE(fixture.IsSentTo("s0-new"));
}

// A day broke BUDGET when leases of leafs had lapsed: for a second, daemons
// knew two of a shard's three leafs.
TEST_CASE("a delegated shard reaches no third leaf while entries are missing") {
  FarShards fixture;
  for (const char* shard : {"s0", "s1", "s2", "s3"}) {
    fixture.AddLeaf(shard, shard + std::string("-third"), "d2");
  }
  SUBCASE("the leafs' entries go after the delegation") {
    fixture.Advance(RelayEngine::kLeafSetSettleTime);
    fixture.Submit(4);
    for (const char* shard : {"s0", "s1", "s2", "s3"}) {
      fixture.RemoveLeaf(shard + std::string("-third"));
    }
  }
  SUBCASE("they went shortly before it") {
    fixture.Advance(RelayEngine::kLeafSetSettleTime);
    for (const char* shard : {"s0", "s1", "s2", "s3"}) {
      fixture.RemoveLeaf(shard + std::string("-third"));
    }
    fixture.Submit(4);
  }
  REQUIRE(fixture.delegations.size() == 1);
  CHECK(fixture.delegations.front().bypassable ==
        std::vector<bool>{false, false, false, false});
  fixture.Advance(milliseconds(300));
  fixture.LosePeer();
  fixture.Advance(milliseconds(100));
  CHECK(fixture.sends.empty());
}

// A day broke BUDGET when entries changed after daemons had gone past a peer:
// the peer may have used both old leafs, and the daemon used an old and a new
// one.
TEST_CASE("a shard that a peer may have run reaches no leaf that is new") {
  FarShards fixture;
  fixture.Submit(4);
  REQUIRE(fixture.delegations.size() == 1);
  SUBCASE("the peer is lost") {
    fixture.LosePeer();
  }
  SUBCASE("the peer is late and reports one attempt afterwards") {
    fixture.Advance(milliseconds(150));
    fixture.ReplyFromPeer(
        {}, {{0, 1, false}, {1, 1, false}, {2, 1, false}, {3, 1, false}});
  }
  fixture.Advance(milliseconds(1));
  REQUIRE(fixture.sends.size() == 4);
  const auto first = fixture.sends.front();
  const std::string shard = first.leaf_id.substr(0, first.leaf_id.find('-'));
  fixture.AddLeaf(shard, shard + "-new", "d2");
  fixture.RemoveLeaf(shard + "-2");
  fixture.RemoveLeaf(shard + "-3");
  fixture.Reply(first.leaf_id, LeafReplyKind::kLost);
  fixture.Advance(milliseconds(200));
  CHECK_FALSE(fixture.IsSentTo(shard + "-new"));
}

TEST_CASE("a peer declines a shard whose leafs have changed just before") {
  RelayFixture fixture;
  fixture.AddLeaf("s0", "old");
  fixture.Advance(RelayEngine::kLeafSetSettleTime);
  fixture.AddLeaf("s0", "new");
  fixture.is_for_peer = true;
  fixture.bypassable = {true};
  const RelayNumber number = fixture.Submit(1);
  CHECK(fixture.sends.empty());
  const RelayOutcome& outcome = fixture.Outcome(number);
  REQUIRE(outcome.uncovered.size() == 1);
  CHECK(outcome.uncovered.front().possible_runs == 0);
}

TEST_CASE(
    "a peer with more leafs than the delegating daemon declines the shard") {
  RelayFixture fixture;
  for (const char* leaf : {"a", "b", "c"}) {
    fixture.AddLeaf("s0", leaf);
    fixture.AddLeaf("s1", std::string("other-") + leaf);
  }
  fixture.is_for_peer = true;
  fixture.bypassable = {true, false};
  const RelayNumber number = fixture.Submit(2);
  REQUIRE(fixture.sends.size() == 1);
  fixture.Reply(fixture.sends.front().leaf_id, LeafReplyKind::kSucceeded);
  const RelayOutcome& outcome = fixture.Outcome(number);
  CHECK(outcome.covered == std::vector<std::size_t>{1});
  REQUIRE(outcome.uncovered.size() == 1);
  CHECK(outcome.uncovered.front().possible_runs == 0);
  CHECK_FALSE(outcome.uncovered.front().is_pending);
}

TEST_CASE("a shard for which the peer used all attempts is not retried") {
  FarShards fixture;
  fixture.AddLeaf("s3", "s3-new", "d2");
  fixture.Submit(4);
  fixture.Advance(milliseconds(20));
  fixture.ReplyFromPeer({0, 1, 2}, {{3, 2, false}});
  CHECK(fixture.sends.empty());
}

TEST_CASE("a peer that does not respond in time is avoided") {
  SUBCASE("the other peer gets the delegation") {
    // Without a retry budget the shards are not hedged at their leafs.
    FarShards fixture({0, 0});
    fixture.Submit(4);
    const Endpoint unresponsive_peer = fixture.delegations.back().peer;
    fixture.Advance(milliseconds(300));
    fixture.Submit(4);
    REQUIRE(fixture.delegations.size() == 2);
    CHECK(fixture.delegations.back().peer != unresponsive_peer);
  }
  SUBCASE("the peer is avoided even if its shards were hedged at their leafs") {
    FarShards fixture;
    fixture.Submit(4);
    const Endpoint unresponsive_peer = fixture.delegations.back().peer;
    fixture.Advance(milliseconds(300));
    fixture.delegations.clear();
    fixture.Submit(4);
    CHECK(fixture.delegations.size() + fixture.sends.size() > 0);
    for (const RelayDelegation& delegation : fixture.delegations) {
      CHECK(delegation.peer != unresponsive_peer);
    }
  }
}

TEST_CASE("when the answer is due, a peer gets the replies received so far") {
  RelayFixture fixture;
  fixture.is_for_peer = true;
  for (int shard = 0; shard < 3; ++shard) {
    const std::string name = "s" + std::to_string(shard);
    fixture.AddLeaf(name, name + "-a");
  }
  const RelayNumber number = fixture.Submit(3);
  fixture.Reply("s0-a", LeafReplyKind::kSucceeded);
  fixture.Advance(milliseconds(195));
  REQUIRE(fixture.Outcome(number).covered == std::vector<std::size_t>{0});
  CHECK(fixture.Outcome(number).uncovered.size() == 2);
  CHECK(fixture.Outcome(number).is_continued);
  fixture.outcomes.clear();

  SUBCASE("a continuation gets only the remaining shards") {
    REQUIRE(fixture.engine.Continue(number, fixture.now + milliseconds(500),
                                    fixture.now));
    fixture.Reply("s1-a", LeafReplyKind::kSucceeded);
    fixture.Reply("s2-a", LeafReplyKind::kSucceeded);
    CHECK(fixture.Outcome(number).covered == std::vector<std::size_t>{1, 2});
  }
  SUBCASE("without a continuation, outstanding attempts are cancelled") {
    fixture.Advance(milliseconds(400));
    CHECK(fixture.cancellations.size() == 2);
    CHECK_FALSE(fixture.engine.Continue(number, fixture.now, fixture.now));
  }
}

// The delegating daemon took the shards of such an answer for lost ones that
// may have run, and did not request them from other leafs.
TEST_CASE("a peer that refuses shards reports that none of them ran") {
  RelayFixture peer;
  peer.is_for_peer = true;
  constexpr std::size_t kShards = 2;
  const RelayNumber number = peer.Submit(kShards);
  const RelayOutcome& outcome = peer.Outcome(number);
  REQUIRE(outcome.refusal.has_value());
  REQUIRE(outcome.uncovered.size() == kShards);
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    CHECK(outcome.uncovered[shard].place == shard);
    CHECK(outcome.uncovered[shard].possible_runs == 0);
    CHECK_FALSE(outcome.uncovered[shard].is_pending);
  }
}

TEST_CASE("a peer that refuses a request as suspect offers no shard of it") {
  RelayFixture peer;
  peer.is_for_peer = true;
  peer.AddLeaf("s0", "a");
  peer.fingerprint = 1;
  peer.engine.OnPeerSuspect({1, ""}, peer.now);
  const RelayOutcome& outcome = peer.Outcome(peer.Submit(1));
  REQUIRE(outcome.refusal.has_value());
  CHECK(outcome.uncovered.empty());
}

}  // namespace bramleyspoke
