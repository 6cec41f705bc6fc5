#include <doctest/doctest.h>

#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

using std::chrono::seconds;

constexpr std::size_t kShards = 4;

/// Four shards and service "one", each with two leafs in this failure domain,
/// and a peer in this domain and in another region. A leaf has just answered.
struct NearLeafs : RelayFixture {
  explicit NearLeafs(RetryAllowance allowance = {1, 100})
      : RelayFixture(allowance) {
    for (const char* service : {"s0", "s1", "s2", "s3", "one"}) {
      AddLeaf(service, std::string(service) + "-a");
      AddLeaf(service, std::string(service) + "-b");
    }
    single_service = "one";
    engine.SetPeers({near_peer, far_peer});
    Advance(RelayEngine::kLeafSetSettleTime);
    Submit(0);
    Reply(sends.front().leaf_id, LeafReplyKind::kSucceeded);
  }

  /// From now on no leaf answers and connections hang.
  void CutOff() {
    probes = ProbeAnswer::kNone;
    Submit(kShards);
    AwaitCutOff();
    ReplyFromPeer(TakeDelegation(), {0, 1, 2, 3});
    sends.clear();
  }

  /// Advances the time until the daemon knows that it is cut off.
  void AwaitCutOff() {
    for (int step = 0; step < 200; ++step) {
      if (engine.Contact() == ContactState::kCutOff) {
        return;
      }
      Advance(milliseconds(5));
    }
    FAIL("not found to be cut off");
  }

  void ReplyFromPeer(const RelayDelegation& delegation,
                     std::vector<std::size_t> covered,
                     std::vector<UncoveredShard> uncovered = {},
                     bool is_cut_off = false) {
    DelegationReply reply;
    reply.kind = LeafReplyKind::kSucceeded;
    reply.covered = std::move(covered);
    reply.uncovered = std::move(uncovered);
    reply.is_cut_off = is_cut_off;
    reply.answer.body = "from a peer";
    CollectActions(
        engine.OnDelegationReply(delegation.number, std::move(reply), now));
  }

  void LosePeer(const RelayDelegation& delegation) {
    DelegationReply reply;
    reply.kind = LeafReplyKind::kLost;
    CollectActions(
        engine.OnDelegationReply(delegation.number, std::move(reply), now));
  }

  RelayDelegation TakeDelegation() {
    REQUIRE(delegations.size() == 1);
    const RelayDelegation delegation = delegations.front();
    delegations.clear();
    return delegation;
  }

  const RelayPeer near_peer{{"127.0.0.2", 1}, "r1", "d1"};
  const RelayPeer far_peer{{"127.0.0.3", 1}, "r2", "d2"};
};

}  // namespace

TEST_CASE("a daemon that is cut off hands requests in flight over to a peer") {
  NearLeafs relay;
  relay.probes = ProbeAnswer::kNone;
  const RelayNumber number = relay.Submit(kShards);
  REQUIRE(relay.sends.size() == kShards);
  relay.AwaitCutOff();
  const RelayDelegation delegation = relay.TakeDelegation();
  CHECK(delegation.peer == relay.near_peer.address);
  CHECK(delegation.shards.size() == kShards);
  CHECK(relay.cancellations.size() == kShards);
  relay.ReplyFromPeer(delegation, {0, 1, 2, 3});
  CHECK(relay.Outcome(number).missing_shards == 0);
}

// Its retry budget does not cover what a cut leaves unanswered.
TEST_CASE("what is sent into a cut is handed over without a retry budget") {
  NearLeafs relay(RetryAllowance{0, 0});
  relay.probes = ProbeAnswer::kNone;
  for (int request = 0; request < 10; ++request) {
    relay.Submit(kShards);
  }
  relay.AwaitCutOff();
  CHECK(relay.delegations.size() == 10);
}

TEST_CASE("a slow request is given up once it is overdue in a cut") {
  NearLeafs relay;
  relay.route_name = "slow";
  for (int answer = 0; answer < 100; ++answer) {
    relay.Submit(0);
    relay.Advance(milliseconds(200));
    while (!relay.sends.empty()) {
      relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kSucceeded);
    }
  }
  relay.probes = ProbeAnswer::kNone;
  const RelayNumber number = relay.Submit(0, RequestKind::kIdempotent, 1);
  relay.route_name = "route";
  relay.Submit(kShards);
  relay.AwaitCutOff();
  CHECK_FALSE(relay.outcomes.contains(number));
  relay.Advance(milliseconds(600));
  CHECK(relay.Outcome(number).refusal->verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a daemon that is cut off hands new requests over at once") {
  NearLeafs relay;
  relay.CutOff();
  SUBCASE("all shards of a fan-out") {
    const RelayNumber number = relay.Submit(kShards);
    const RelayDelegation delegation = relay.TakeDelegation();
    CHECK(delegation.shards.size() == kShards);
    relay.ReplyFromPeer(delegation, {0, 1, 2, 3});
    CHECK(relay.Outcome(number).missing_shards == 0);
  }
  SUBCASE("a request to one leaf") {
    const RelayNumber number = relay.Submit(0);
    const RelayDelegation delegation = relay.TakeDelegation();
    CHECK(delegation.shards == std::vector<std::string>{"one"});
    relay.ReplyFromPeer(delegation, {0});
    CHECK(relay.Outcome(number).answers.front().body == "from a peer");
  }
  CHECK(relay.sends.empty());
}

TEST_CASE("a non-idempotent request is handed over once") {
  NearLeafs relay;
  relay.CutOff();
  const RelayNumber number = relay.Submit(0, RequestKind::kNonIdempotent);
  const RelayDelegation delegation = relay.TakeDelegation();
  SUBCASE("if the peer is lost, it may have run") {
    relay.LosePeer(delegation);
    CHECK(relay.delegations.empty());
    CHECK(relay.Outcome(number).refusal->verdict == Verdict::kMayHaveRun);
  }
  SUBCASE("if a leaf of the peer did not answer, it may have run") {
    relay.ReplyFromPeer(delegation, {}, {{0, 1, false}});
    CHECK(relay.delegations.empty());
    CHECK(relay.Outcome(number).refusal->verdict == Verdict::kMayHaveRun);
  }
  SUBCASE("and again if the peer is cut off too and has not sent it") {
    relay.ReplyFromPeer(delegation, {}, {{0, 0, false}}, true);
    CHECK(relay.TakeDelegation().peer == relay.far_peer.address);
  }
  SUBCASE("and never while it is slow") {
    relay.Advance(milliseconds(1500));
    CHECK(relay.delegations.empty());
  }
}

TEST_CASE("a peer that is cut off too is passed over") {
  NearLeafs relay;
  relay.CutOff();
  const RelayNumber number = relay.Submit(kShards);
  const RelayDelegation first = relay.TakeDelegation();
  REQUIRE(first.peer == relay.near_peer.address);
  SUBCASE("once it says so") {
    relay.ReplyFromPeer(
        first, {}, {{0, 0, false}, {1, 0, false}, {2, 0, false}, {3, 0, false}},
        true);
  }
  SUBCASE("if it does not answer") {
    relay.Advance(milliseconds(100));
  }
  const RelayDelegation second = relay.TakeDelegation();
  CHECK(second.peer == relay.far_peer.address);
  relay.ReplyFromPeer(second, {0, 1, 2, 3});
  CHECK(relay.Outcome(number).missing_shards == 0);
  relay.Submit(kShards);
  CHECK(relay.TakeDelegation().peer == relay.far_peer.address);
}

// When most daemons are cut off, the others get all requests.
TEST_CASE("peers that are all slow keep what was handed over to them") {
  NearLeafs relay;
  relay.CutOff();
  relay.Submit(kShards);
  relay.Advance(milliseconds(300));
  CHECK(relay.delegations.size() == 2);
  const RelayNumber number = relay.Submit(kShards);
  relay.Advance(milliseconds(300));
  CHECK(relay.delegations.size() == 3);
  CHECK(relay.sends.empty());
  relay.ReplyFromPeer(relay.delegations.back(), {0, 1, 2, 3});
  CHECK(relay.Outcome(number).missing_shards == 0);
}

TEST_CASE("a daemon that is cut off refuses the queries of peers at once") {
  NearLeafs relay;
  relay.CutOff();
  relay.is_for_peer = true;
  const RelayOutcome& outcome = relay.Outcome(relay.Submit(kShards));
  CHECK(outcome.uncovered.size() == kShards);
  CHECK(outcome.uncovered.front().possible_runs == 0);
  CHECK(relay.delegations.empty());
}

TEST_CASE("without a peer that reaches leafs, they are tried") {
  NearLeafs relay;
  relay.CutOff();
  relay.engine.SetPeers({});
  relay.Submit(kShards);
  CHECK(relay.delegations.empty());
  CHECK(relay.sends.size() == kShards);
}

TEST_CASE("a shard whose leafs alone are out of reach is handed over alone") {
  NearLeafs relay;
  for (const LeafRegistration& leaf : relay.leafs) {
    if (leaf.service == "s2") {
      relay.CollectActions(
          relay.engine.OnReachable(leaf.address, false, relay.now));
    }
  }
  relay.Submit(kShards);
  const RelayDelegation delegation = relay.TakeDelegation();
  CHECK(delegation.shards == std::vector<std::string>{"s2"});
  CHECK(relay.sends.size() == kShards - 1);
  SUBCASE("and to another peer if the first one can't reach them either") {
    relay.ReplyFromPeer(delegation, {}, {{0, 0, false}});
    const RelayDelegation other = relay.TakeDelegation();
    CHECK(other.peer == relay.far_peer.address);
    relay.Submit(kShards);
    CHECK(relay.TakeDelegation().peer == relay.far_peer.address);

    // And not again for a moment if no peer can.
    relay.ReplyFromPeer(other, {}, {{0, 0, false}});
    relay.Submit(kShards);
    CHECK(relay.delegations.empty());
  }
  SUBCASE("and again if a leaf of the peer did not answer") {
    relay.ReplyFromPeer(delegation, {}, {{0, 1, false}});
    CHECK(relay.TakeDelegation().peer == relay.near_peer.address);
  }
}

TEST_CASE("a cut is no evidence against the requests that it hit") {
  NearLeafs relay;
  relay.fingerprint = 1;
  relay.probes = ProbeAnswer::kRefused;
  relay.Advance(seconds(1));
  SUBCASE("connections are reset, and new ones refused") {
    relay.Submit(kShards);
    const std::vector<RelayAttempt> attempts = relay.sends;
    for (const RelayAttempt& attempt : attempts) {
      relay.Reply(attempt.leaf_id, LeafReplyKind::kLost);
    }
    for (const RelayAttempt& attempt : attempts) {
      relay.CollectActions(
          relay.engine.OnReachable(attempt.address, false, relay.now));
    }
  }
  SUBCASE("connections hang, and new ones time out") {
    relay.probes = ProbeAnswer::kNone;
    relay.Submit(kShards);
    relay.Advance(milliseconds(400));
    for (const LeafRegistration& leaf : relay.leafs) {
      relay.CollectActions(
          relay.engine.OnReachable(leaf.address, false, relay.now));
    }
  }
  REQUIRE(relay.engine.Contact() == ContactState::kCutOff);
  relay.CollectActions(
      relay.engine.OnReachable(relay.leafs.front().address, true, relay.now));
  REQUIRE(relay.engine.Contact() == ContactState::kInContact);
  CHECK(relay.engine.TakeCrashes().empty());
}

TEST_CASE("nothing remains of a cut once a leaf accepts a connection") {
  NearLeafs relay;
  relay.CutOff();
  for (const LeafRegistration& leaf : relay.leafs) {
    relay.CollectActions(
        relay.engine.OnReachable(leaf.address, false, relay.now));
  }
  relay.CollectActions(
      relay.engine.OnReachable(relay.leafs.front().address, true, relay.now));
  CHECK(relay.engine.Leafs().CountByState(relay.now).at(LeafState::kReady) ==
        relay.leafs.size());
  relay.Submit(kShards);
  CHECK(relay.sends.size() == kShards);
  CHECK(relay.delegations.empty());
}

}  // namespace bramleyspoke
