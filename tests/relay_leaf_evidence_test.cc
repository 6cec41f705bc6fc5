#include <doctest/doctest.h>

#include "relay_fixture.h"

namespace bramleyspoke {

TEST_CASE("a timeout just after an attempt was sent is no failure of a leaf") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.AddLeaf("s0", "b");
  constexpr int kRequests = 20;
  for (int request = 0; request < kRequests; ++request) {
    relay.Submit(0, RequestKind::kNonIdempotent);
    REQUIRE(relay.sends.size() == 1);
    relay.Advance(milliseconds(2));
    relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kTimedOut);
  }
  CHECK(relay.engine.Contact() == ContactState::kInContact);
  for (const auto& leaf : relay.engine.Leafs().Services().at("s0")->leafs) {
    CHECK(leaf->load.Cost("route", relay.now) < milliseconds(100));
  }
}

// A leaf at its connection limit was left alone for more than a second.
TEST_CASE("a leaf that refuses a connection is tried again soon") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  const Endpoint leaf = relay.leafs.front().address;
  const auto fails = [&] {
    relay.CollectActions(relay.engine.OnReachable(leaf, false, relay.now));
    const RelayNumber number = relay.Submit(0);
    CHECK(relay.outcomes.contains(number));
  };
  fails();
  relay.Advance(milliseconds(101));
  relay.Submit(0);
  CHECK(relay.IsSentTo("a"));
  SUBCASE("later each time that it refuses again") {
    fails();
    relay.Advance(milliseconds(101));
    CHECK(relay.outcomes.contains(relay.Submit(0)));
    relay.Advance(milliseconds(100));
    CHECK_FALSE(relay.outcomes.contains(relay.Submit(0)));
  }
}

}  // namespace bramleyspoke
