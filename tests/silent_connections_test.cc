#include "request/silent_connections.h"

#include <doctest/doctest.h>

#include <map>
#include <utility>
#include <vector>

#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

using std::chrono::seconds;

const Endpoint kLeafA{"127.0.0.1", 1};
const Endpoint kLeafB{"127.0.0.1", 2};

}  // namespace

TEST_CASE("connections are suspect once several leafs were silent for long") {
  const TimePoint start{std::chrono::hours(1)};
  SilentConnections connections;
  connections.OnSilent(kLeafA, start);
  connections.OnSilent(kLeafA, start + milliseconds(100));
  CHECK_FALSE(connections.IsSuspected(start + seconds(2)));
  connections.OnSilent(kLeafB, start + milliseconds(200));
  CHECK_FALSE(connections.IsSuspected(start + milliseconds(400)));
  CHECK(connections.IsSuspected(start + milliseconds(500)));
  CHECK(connections.Since() == start);
  SUBCASE("unless a leaf answers meanwhile") {
    connections.OnAnswered(start + milliseconds(450));
    connections.OnSilent(kLeafA, start + milliseconds(300));
    connections.OnSilent(kLeafB, start + milliseconds(300));
    CHECK_FALSE(connections.IsSuspected(start + seconds(2)));
  }
}

TEST_CASE("connections that are silent after a close are given longer") {
  TimePoint now{std::chrono::hours(1)};
  SilentConnections connections;
  const auto is_suspected_after = [&](Duration silence) {
    connections.OnSilent(kLeafA, now);
    connections.OnSilent(kLeafB, now);
    return connections.IsSuspected(now + silence);
  };
  REQUIRE(is_suspected_after(milliseconds(500)));
  connections.OnClosed();
  now += seconds(1);
  CHECK_FALSE(is_suspected_after(milliseconds(999)));
  CHECK(is_suspected_after(milliseconds(1000)));
  SUBCASE("until a leaf answers") {
    connections.OnAnswered(now);
    now += seconds(1);
    CHECK(is_suspected_after(milliseconds(500)));
  }
  SUBCASE("up to a maximum") {
    for (int close = 0; close < 20; ++close) {
      connections.OnClosed();
    }
    now += seconds(1);
    CHECK(is_suspected_after(SilentConnections::kMaxMinSilence));
  }
}

// Guards against requests that take long and are given up as lost for good.
TEST_CASE("a daemon that has just started serves requests that take long") {
  milliseconds work{1250};
  SUBCASE("1.25 s") {}
  SUBCASE("3 s") {
    work = seconds(3);
  }
  RelayFixture relay({0.2, 10});
  relay.time_left = seconds(15);
  for (const char* leaf : {"a", "b", "c", "d", "e"}) {
    relay.AddLeaf("s0", leaf);
  }
  std::map<RelayAttemptNumber, TimePoint> begun;
  int served_late = 0;
  const TimePoint start = relay.now;
  for (int step = 0; step < 1500; ++step) {
    if (step % 150 == 0 && step < 1000) {
      for (int request = 0; request < 5; ++request) {
        relay.Submit(0, RequestKind::kIdempotent, 3);
      }
    }
    relay.Advance(milliseconds(10));
    for (const RelayAttemptNumber number :
         std::exchange(relay.cancellations, {})) {
      std::erase_if(relay.sends, [&](const RelayAttempt& attempt) {
        return attempt.number == number;
      });
    }
    for (const RelayAttempt& attempt : std::vector(relay.sends)) {
      const TimePoint sent_at =
          begun.try_emplace(attempt.number, relay.now).first->second;
      if (relay.now - sent_at >= work) {
        std::erase_if(relay.sends, [&](const RelayAttempt& other) {
          return other.number == attempt.number;
        });
        served_late += relay.now - start > seconds(8) ? 1 : 0;
        relay.ReplyTo(attempt, LeafReplyKind::kSucceeded);
      }
    }
  }
  CHECK(served_late > 0);
}

TEST_CASE("requests do not wait on silent connections one after the other") {
  RelayFixture relay;
  for (const char* leaf : {"a", "b", "c"}) {
    relay.AddLeaf("s0", leaf);
  }
  relay.Submit(0, RequestKind::kIdempotent, 1);
  relay.Advance(milliseconds(20));
  relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kSucceeded);
  relay.Advance(seconds(1));

  // No leaf answers on a connection that is open, and all accept new ones.
  constexpr std::size_t kRequests = 6;
  for (std::size_t request = 0; request < kRequests; ++request) {
    relay.Submit(0, RequestKind::kIdempotent, 1);
  }
  REQUIRE(relay.sends.size() == kRequests);
  const TimePoint sent_at = relay.now;
  relay.Advance(milliseconds(700));
  REQUIRE(relay.closed_before.has_value());
  CHECK(*relay.closed_before == sent_at);
  CHECK(relay.cancellations.size() == kRequests);
  CHECK(relay.engine.Contact() == ContactState::kInContact);
}

// They may have crashed.
TEST_CASE("leafs that are gone after their silence count as crashed") {
  RelayFixture relay;
  for (const char* leaf : {"a", "b", "c", "d"}) {
    relay.AddLeaf("s0", leaf);
  }
  relay.fingerprint = 1;
  for (std::size_t request = 0; request < 6; ++request) {
    relay.Submit(0, RequestKind::kIdempotent, 1);
  }
  relay.Advance(milliseconds(700));
  REQUIRE(relay.closed_before.has_value());
  CHECK(relay.engine.TakeCrashes().empty());
  const std::string silent = relay.sends.front().leaf_id;
  relay.RemoveLeaf(silent);
  CHECK_FALSE(relay.engine.TakeCrashes().empty());
}

TEST_CASE("a peer's shards are tried at other leafs after such a silence") {
  RelayFixture relay;
  for (const char* leaf : {"a", "b", "c", "d"}) {
    relay.AddLeaf("s0", leaf);
    relay.AddLeaf("s1", std::string(leaf) + "1");
  }
  relay.is_for_peer = true;
  for (std::size_t request = 0; request < 4; ++request) {
    relay.Submit(2, RequestKind::kIdempotent, 3);
  }
  const std::size_t sent = relay.sends.size();
  relay.Advance(milliseconds(700));
  REQUIRE(relay.closed_before.has_value());
  CHECK(relay.sends.size() > sent);
}

TEST_CASE("leafs that stall for a moment keep their connections") {
  RelayFixture relay;
  for (const char* leaf : {"a", "b", "c"}) {
    relay.AddLeaf("s0", leaf);
  }
  for (int turn = 0; turn < 10; ++turn) {
    relay.Submit(0, RequestKind::kIdempotent, 1);
    relay.Submit(0, RequestKind::kIdempotent, 1);
    relay.Advance(milliseconds(300));
    while (!relay.sends.empty()) {
      relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kSucceeded);
    }
    relay.Advance(seconds(1));
  }
  CHECK_FALSE(relay.closed_before.has_value());
}

}  // namespace bramleyspoke
