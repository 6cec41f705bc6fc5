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

// The store was away when the leaf started again, so its answers were taken for
// those of its earlier run.
TEST_CASE("a leaf is still leaving when its new run is registered late") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.AddLeaf("s0", "b");
  relay.Advance(seconds(10));
  const std::int64_t restarted_after_ms = 10'000;
  const auto register_run = [&] {
    relay.leafs.front().started_at_ms += restarted_after_ms;
    relay.CollectActions(relay.engine.SetLeafs(relay.leafs, relay.now));
  };
  const auto say_leaving = [&] {
    relay.leaving = {"a"};
    while (!relay.IsSentTo("a")) {
      relay.Submit(0);
    }
    relay.Reply("a", LeafReplyKind::kSucceeded);
    relay.sends.clear();
  };
  const auto gets_requests = [&] {
    bool is_sent = false;
    for (int request = 0; request < 20; ++request) {
      relay.Submit(0);
      is_sent = is_sent || relay.IsSentTo("a");
      relay.sends.clear();
    }
    return is_sent;
  };
  SUBCASE("said by the new run") {
    relay.Advance(milliseconds(500));
    say_leaving();
    relay.Advance(seconds(1));
    register_run();
    CHECK_FALSE(gets_requests());
  }
  SUBCASE("said by the new run, whose entry is replaced by an older copy") {
    register_run();
    say_leaving();
    relay.Advance(seconds(1));
    relay.leafs.front().started_at_ms -= restarted_after_ms;
    relay.CollectActions(relay.engine.SetLeafs(relay.leafs, relay.now));
    CHECK_FALSE(gets_requests());
    relay.Advance(seconds(1));
    register_run();
    CHECK_FALSE(gets_requests());
  }
  SUBCASE("said by the earlier run") {
    relay.now -= seconds(1);
    say_leaving();
    relay.Advance(seconds(1));
    register_run();
    CHECK(gets_requests());
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
