#include <doctest/doctest.h>

#include <string>

#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

using std::chrono::seconds;

/// A service with two leafs, of which "a" has said that it is leaving.
class LeavingLeaf : public RelayFixture {
 public:
  explicit LeavingLeaf(LeafReplyKind kind = LeafReplyKind::kSucceeded) {
    AddLeaf("s0", "a");
    AddLeaf("s0", "b");
    leaving = {"a"};
    while (!IsSentTo("a")) {
      Submit(0);
    }
    Reply("a", kind);
    sends.clear();
    Advance(seconds(1));
  }

  /// Whether any of some requests is sent to "a".
  bool GetsRequests() {
    bool is_sent = false;
    for (int request = 0; request < 20; ++request) {
      Submit(0);
      is_sent = is_sent || IsSentTo("a");
      while (!sends.empty()) {
        Reply(sends.front().leaf_id, LeafReplyKind::kSucceeded);
      }
    }
    return is_sent;
  }

  void SetLeafs() { CollectActions(engine.SetLeafs(leafs, now)); }
};

}  // namespace

// The store may say so seconds later, or never.
TEST_CASE("a leaf that says that it is leaving gets no more requests") {
  LeafReplyKind kind = LeafReplyKind::kSucceeded;
  SUBCASE("in an answer") {}
  SUBCASE("in a failure") {
    kind = LeafReplyKind::kFailed;
  }
  SUBCASE("in a refusal") {
    kind = LeafReplyKind::kRefused;
  }
  LeavingLeaf relay(kind);
  CHECK_FALSE(relay.GetsRequests());
  SUBCASE("also after its entry was read again") {
    relay.SetLeafs();
    CHECK_FALSE(relay.GetsRequests());
  }
  SUBCASE("nor hedges") {
    relay.Submit(0);
    relay.Advance(milliseconds(500));
    CHECK_FALSE(relay.IsSentTo("a"));
  }
  SUBCASE("nor retries") {
    relay.Submit(0);
    relay.Reply("b", LeafReplyKind::kLost);
    CHECK_FALSE(relay.IsSentTo("a"));
  }
}

TEST_CASE("a leaf is still leaving when its lapsed entry comes back") {
  LeavingLeaf relay;
  const LeafRegistration entry = relay.leafs.front();
  relay.RemoveLeaf("a");
  relay.Advance(seconds(5));
  relay.leafs.push_back(entry);
  SUBCASE("at the same address") {
    relay.SetLeafs();
    CHECK_FALSE(relay.GetsRequests());
  }
  SUBCASE("at another address") {
    relay.leafs.back().address.port = 999;
    relay.SetLeafs();
    CHECK_FALSE(relay.GetsRequests());
  }
  SUBCASE("but another run under its id is a new leaf") {
    relay.leaving.clear();
    relay.leafs.back().started_at_ms += 1;
    relay.SetLeafs();
    CHECK(relay.GetsRequests());
  }
}

TEST_CASE("a leaf that is leaving keeps no idle connections") {
  LeavingLeaf relay;
  const auto pools = relay.engine.Leafs().ConnectionPoolSizes();
  CHECK_FALSE(pools.contains(relay.leafs[0].address));
  CHECK(pools.contains(relay.leafs[1].address));
}

TEST_CASE("if all leafs are leaving, requests are refused after a short time") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.leaving = {"a"};
  relay.Submit(0);
  relay.Reply("a", LeafReplyKind::kSucceeded);
  relay.Submit(0);
  CHECK(relay.IsSentTo("a"));
  relay.Advance(RelayLeaf::kDrainGracePeriod);
  const RelayNumber number = relay.Submit(0);
  REQUIRE(relay.outcomes.contains(number));
  CHECK(relay.Outcome(number).refusal->verdict == Verdict::kNotRun);
  CHECK(relay.Outcome(number).refusal->retry_after.has_value());
}

TEST_CASE("a leaf's leaving is reported once") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.leaving = {"a"};
  for (int answer = 0; answer < 2; ++answer) {
    relay.Submit(0);
    relay.Reply("a", LeafReplyKind::kSucceeded);
  }
  const auto notices = relay.engine.TakeLeafNotices();
  REQUIRE(notices.size() == 1);
  CHECK(notices.front().kind == LeafNoticeKind::kLeaving);
  CHECK(notices.front().leaf_id == "a");
}

}  // namespace bramleyspoke
