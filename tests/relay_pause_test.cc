#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>

#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

using std::chrono::seconds;

constexpr seconds kPause{3};

/// A service with two leafs, of which "a" has asked for a pause.
class PausedLeaf : public RelayFixture {
 public:
  PausedLeaf() {
    AddLeaf("s0", "a");
    AddLeaf("s0", "b");
    pauses = {{"a", kPause}};
    while (!IsSentTo("a")) {
      Submit(0);
    }
    sends.erase(
        std::remove_if(sends.begin(), sends.end(),
                       [](const auto& send) { return send.leaf_id == "b"; }),
        sends.end());
    Reply("a", LeafReplyKind::kRefused);
    sends.clear();
    asked_at = now;
    pauses.clear();
  }

  /// Sends requests until `end`, which leafs answer; returns how many "a" got.
  std::size_t ArrivalsUntil(TimePoint end) {
    std::size_t arrivals = 0;
    while (now < end) {
      Submit(0);
      for (const RelayAttempt& send : std::exchange(sends, {})) {
        arrivals += send.leaf_id == "a" ? 1 : 0;
        ReplyTo(send, LeafReplyKind::kSucceeded);
      }
      Advance(milliseconds(20));
    }
    return arrivals;
  }

  TimePoint asked_at;
};

}  // namespace

// It was ejected for some tens of milliseconds only.
TEST_CASE("a leaf that asks for a pause gets no requests until it ends") {
  PausedLeaf relay;
  SUBCASE("while the sibling answers") {}
  SUBCASE("also after its entry was read again") {
    relay.CollectActions(relay.engine.SetLeafs(relay.leafs, relay.now));
  }
  SUBCASE("also after its entry lapsed and came back") {
    const LeafRegistration entry = relay.leafs.front();
    relay.RemoveLeaf("a");
    relay.leafs.push_back(entry);
    relay.CollectActions(relay.engine.SetLeafs(relay.leafs, relay.now));
  }
  CHECK(relay.ArrivalsUntil(relay.asked_at + kPause) == 0);
  CHECK(relay.ArrivalsUntil(relay.asked_at + 2 * kPause) > 0);
}

// The refusal that carries the pause was also counted as one for lack of
// capacity, which kept the leaf expensive for many seconds after the pause.
TEST_CASE("a leaf gets its part of the load again once its pause has ended") {
  constexpr int kAtOnce = 6;
  // A leaf returns gradually.
  constexpr int kRoundsOfReturn = 10;
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.AddLeaf("s0", "b");
  std::map<std::string, int> arrivals;
  const auto play = [&](int rounds) {
    arrivals.clear();
    for (int round = 0; round < rounds; ++round) {
      for (int request = 0; request < kAtOnce; ++request) {
        relay.Submit(0);
      }
      relay.Advance(milliseconds(20));
      for (const RelayAttempt& send : std::exchange(relay.sends, {})) {
        ++arrivals[send.leaf_id];
        const bool is_paused = relay.pauses.contains(send.leaf_id);
        relay.ReplyTo(send, is_paused ? LeafReplyKind::kRefused
                                      : LeafReplyKind::kSucceeded);
      }
    }
  };
  play(kRoundsOfReturn);
  relay.pauses = {{"a", kPause}};
  play(1);
  relay.pauses.clear();
  relay.Advance(kPause + LeafPause::kMaxSpread);
  play(kRoundsOfReturn);
  play(kRoundsOfReturn);
  CHECK(arrivals["a"] > arrivals["b"] / 2);
}

TEST_CASE("hedges and retries spare a leaf that asked for a pause") {
  PausedLeaf relay;
  relay.Submit(0);
  REQUIRE(relay.IsSentTo("b"));
  SUBCASE("hedge") {
    relay.Advance(milliseconds(500));
  }
  SUBCASE("retry") {
    relay.Reply("b", LeafReplyKind::kLost);
  }
  CHECK_FALSE(relay.IsSentTo("a"));
}

TEST_CASE("an attempt that waits for a connection is not sent in a pause") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.pauses = {{"a", kPause}};
  relay.Submit(0);
  relay.Submit(0);
  REQUIRE(relay.sends.size() == 2);
  const RelayAttemptNumber waiting = relay.sends.back().number;
  CHECK(relay.engine.MaySend(waiting, relay.now));
  relay.Reply("a", LeafReplyKind::kRefused);
  CHECK_FALSE(relay.engine.MaySend(waiting, relay.now));
}

TEST_CASE("another run of a leaf is not paused") {
  PausedLeaf relay;
  relay.leafs.front().started_at_ms += 1;
  relay.CollectActions(relay.engine.SetLeafs(relay.leafs, relay.now));
  CHECK(relay.ArrivalsUntil(relay.asked_at + seconds(1)) > 0);
}

TEST_CASE("if all leafs asked for a pause, requests are refused at once") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.AddLeaf("s0", "b");
  relay.pauses = {{"a", seconds(4)}, {"b", seconds(2)}};
  const RelayNumber first = relay.Submit(0);
  while (!relay.sends.empty()) {
    relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kRefused);
  }
  REQUIRE(relay.outcomes.contains(first));
  const RelayNumber number = relay.Submit(0);
  REQUIRE(relay.outcomes.contains(number));
  const auto& refusal = relay.Outcome(number).refusal;
  REQUIRE(refusal.has_value());
  CHECK(refusal->reason == RefusalReason::kLeafPaused);
  CHECK(refusal->verdict == Verdict::kNotRun);
  REQUIRE(refusal->retry_after.has_value());
  CHECK(*refusal->retry_after >= seconds(2));
  CHECK(*refusal->retry_after <= milliseconds(2400));
}

TEST_CASE(
    "shards of a far leaf that asked this daemon for a pause are "
    "delegated") {
  RelayFixture relay;
  relay.engine.SetDaemons({{"r1", 2}, {"r2", 2}});
  constexpr std::size_t kShards = 4;
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    const std::string leaf = "leaf" + std::to_string(shard);
    relay.AddLeaf("s" + std::to_string(shard), leaf, "d2");
    relay.pauses[leaf] = kPause;
  }
  relay.Submit(kShards);
  while (!relay.sends.empty()) {
    relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kRefused);
  }
  relay.Advance(milliseconds(100));
  relay.engine.SetPeers({{{"127.0.0.2", 1}, "r2", "d2"}});
  relay.Submit(kShards);
  REQUIRE(relay.delegations.size() == 1);
  CHECK(relay.delegations.front().shards.size() == kShards);
}

}  // namespace bramleyspoke
