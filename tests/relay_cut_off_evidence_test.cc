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

}  // namespace bramleyspoke
