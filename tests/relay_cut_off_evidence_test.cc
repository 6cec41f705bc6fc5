#include <doctest/doctest.h>

#include "relay_fixture.h"

namespace bramleyspoke {

// With one request in flight, a cut breaks one connection before any other
// leaf fails.
TEST_CASE("a cut that breaks a single connection is no evidence of a crash") {
  RelayFixture relay;
  for (const char* leaf : {"a", "b", "c"}) {
    relay.AddLeaf("s0", leaf);
  }
  relay.engine.SetPeers({{{"127.0.0.2", 1}, "r1", "d1"}});
  relay.probes = ProbeAnswer::kRefused;
  relay.fingerprint = 1;
  relay.Submit(0, RequestKind::kIdempotent, 1);
  REQUIRE(relay.sends.size() == 1);
  const RelayAttempt attempt = relay.sends.front();
  relay.Reply(attempt.leaf_id, LeafReplyKind::kLost);
  for (const LeafRegistration& leaf : relay.leafs) {
    relay.CollectActions(
        relay.engine.OnReachable(leaf.address, false, relay.now));
  }
  REQUIRE(relay.engine.Contact() == ContactState::kCutOff);
  CHECK(relay.engine.TakeCrashes().empty());
}

// Connections that were begun during a cut may end a second after it.
TEST_CASE("a connection begun during a cut is no evidence after it") {
  RelayFixture relay;
  for (const char* leaf : {"a", "b", "c"}) {
    relay.AddLeaf("s0", leaf);
  }
  relay.engine.SetPeers({{{"127.0.0.2", 1}, "r1", "d1"}});
  relay.fingerprint = 1;
  relay.Submit(0, RequestKind::kIdempotent, 1);
  REQUIRE(relay.sends.size() == 1);
  const RelayAttempt lost = relay.sends.front();
  relay.Reply(lost.leaf_id, LeafReplyKind::kLost);
  relay.Advance(milliseconds(10));
  relay.fingerprint = 2;
  relay.Submit(0, RequestKind::kIdempotent, 1);
  REQUIRE(relay.sends.size() == 1);
  REQUIRE(relay.sends.front().leaf_id != lost.leaf_id);
  relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kSucceeded);
  relay.Advance(milliseconds(10));

  relay.probes = ProbeAnswer::kRefused;
  for (const LeafRegistration& leaf : relay.leafs) {
    relay.CollectActions(
        relay.engine.OnReachable(leaf.address, false, relay.now));
  }
  REQUIRE(relay.engine.Contact() == ContactState::kCutOff);
  const TimePoint begun = relay.now;
  relay.Advance(milliseconds(300));
  relay.CollectActions(
      relay.engine.OnReachable(relay.leafs.back().address, true, relay.now));
  REQUIRE(relay.engine.Contact() == ContactState::kInContact);
  relay.probes = ProbeAnswer::kAccepted;
  relay.Advance(milliseconds(300));
  relay.CollectActions(
      relay.engine.OnReachable(lost.address, false, relay.now, begun));
  CHECK(relay.engine.TakeCrashes().empty());
  CHECK(relay.engine.Leafs().CountByState(relay.now)[LeafState::kUnreachable] ==
        0);
}

}  // namespace bramleyspoke
