#include <doctest/doctest.h>

#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

// A leaf at its limit closes a new connection that carries a request, and then
// refuses another one, like a leaf that the request has crashed.
void LoseAtLimit(RelayFixture& relay) {
  relay.Submit(0, RequestKind::kIdempotent, 1);
  REQUIRE(relay.sends.size() == 1);
  const RelayAttempt attempt = relay.sends.front();
  relay.sends.clear();
  LeafReply reply;
  reply.kind = LeafReplyKind::kLost;
  reply.is_connection_refused = true;
  relay.CollectActions(
      relay.engine.OnReply(attempt.number, std::move(reply), relay.now));
  relay.CollectActions(
      relay.engine.OnReachable(attempt.address, false, relay.now));
  relay.Advance(milliseconds(200));
  relay.CollectActions(
      relay.engine.OnReachable(attempt.address, true, relay.now));
}

// All leafs answer other requests, in the runs that they had before.
void AnswerOthers(RelayFixture& relay, int requests) {
  const std::uint64_t fingerprint = relay.fingerprint;
  for (int request = 0; request < requests; ++request) {
    ++relay.fingerprint;
    relay.Submit(0, RequestKind::kIdempotent, 1);
  }
  relay.Advance(milliseconds(20));
  while (!relay.sends.empty()) {
    relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kSucceeded);
  }
  relay.fingerprint = fingerprint;
}

}  // namespace

TEST_CASE("a request lost at connection limits is not refused as a suspect") {
  RelayFixture relay;
  for (const char* leaf : {"a", "b", "c", "d"}) {
    relay.AddLeaf("s0", leaf);
  }
  relay.fingerprint = 1;
  for (int loss = 0; loss < 3; ++loss) {
    LoseAtLimit(relay);
    AnswerOthers(relay, 16);
    relay.Advance(milliseconds(500));
  }
  const RelayNumber number = relay.Submit(0, RequestKind::kIdempotent, 1);
  CHECK(relay.sends.size() == 1);
  CHECK_FALSE(relay.outcomes.contains(number));
}

}  // namespace bramleyspoke
