#include "process/peer_followed_store.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "held_store.h"
#include "manual_loop.h"
#include "process/peer_watches.h"
#include "router_fakes.h"

namespace bramleyspoke {
namespace {

const Endpoint kSource{"10.0.0.1", 2};
constexpr Duration kWait = std::chrono::seconds(20);

/// Peers whose watches the test answers.
class WatchedPeers final : public FakePeers {
 public:
  struct Held {
    Endpoint peer;
    PeerWatch watch;
    std::function<void(KeyValueChanges)> done;
  };
  void WatchStore(const Endpoint& peer,
                  const PeerWatch& watch,
                  Duration /*timeout*/,
                  std::function<void(KeyValueChanges)> done) override {
    watches.push_back({peer, watch, std::move(done)});
  }

  std::vector<Held> watches;
};

class FollowedStoreFixture {
 public:
  FollowedStoreFixture() : own_watches(loop) {
    auto held = std::make_unique<HeldStore>();
    store = held.get();
    store->era = 4;
    followed =
        PeerFollowedStore::Create(loop, std::move(held), peers, own_watches);
    followed->SetSource(kSource);
  }

  void Watch(Duration wait = kWait) {
    changes.reset();
    followed->Watch("", 7, wait, [this](const KeyValueChanges& answer) {
      changes = answer;
    });
  }

  void AnswerAtPeer(KeyValueStatus status, std::int64_t revision) {
    REQUIRE(peers.watches.size() == 1);
    KeyValueChanges answer;
    answer.status = status;
    answer.revision = revision;
    answer.events = {{"key", "value"}};
    std::exchange(peers.watches, {}).front().done(std::move(answer));
    loop.RunAll();
  }

  ManualLoop loop;
  WatchedPeers peers;
  HeldStore* store = nullptr;
  PeerWatches own_watches;
  std::unique_ptr<PeerFollowedStore> followed;
  std::optional<KeyValueChanges> changes;
};

}  // namespace

TEST_CASE("a watch goes to the source, with the store's era") {
  FollowedStoreFixture fixture;
  fixture.Watch();
  CHECK(fixture.store->watches.empty());
  REQUIRE(fixture.peers.watches.size() == 1);
  CHECK(fixture.peers.watches.front().peer == kSource);
  CHECK(fixture.peers.watches.front().watch.era == 4);
  CHECK(fixture.peers.watches.front().watch.revision == 7);

  fixture.AnswerAtPeer(KeyValueStatus::kOk, 9);
  REQUIRE(fixture.changes);
  CHECK(fixture.changes->status == KeyValueStatus::kOk);
  CHECK(fixture.changes->is_from_peer);
  CHECK(fixture.changes->revision == 9);
}

TEST_CASE("a watch goes to the store itself") {
  FollowedStoreFixture fixture;
  SUBCASE("without a source") {
    fixture.followed->SetSource(std::nullopt);
    fixture.Watch();
  }
  SUBCASE("if it is short, as it is to show whether the store is available") {
    fixture.Watch(PeerFollowedStore::kMaxDirectWait);
  }
  SUBCASE("after the source has ended one as it no longer follows the store") {
    fixture.Watch();
    fixture.AnswerAtPeer(KeyValueStatus::kRefused, 0);
    CHECK(fixture.changes->status == KeyValueStatus::kUnknown);
    fixture.Watch();
  }
  SUBCASE("at once if the source does not know the changes") {
    fixture.Watch();
    fixture.AnswerAtPeer(KeyValueStatus::kHistoryGone, 0);
    CHECK_FALSE(fixture.changes);
    CHECK(fixture.store->watches.front().wait == kWait);
  }
  SUBCASE("after a call to the source has failed") {
    fixture.Watch();
    fixture.AnswerAtPeer(KeyValueStatus::kUnknown, 0);
    fixture.Watch();
  }
  SUBCASE("after the source has answered with an older revision") {
    fixture.Watch();
    fixture.AnswerAtPeer(KeyValueStatus::kOk, 6);
    CHECK(fixture.changes->status == KeyValueStatus::kUnknown);
    fixture.Watch();
  }
  SUBCASE("after the source has announced more changes and none newer") {
    fixture.Watch();
    KeyValueChanges answer;
    answer.status = KeyValueStatus::kOk;
    answer.revision = 7;
    answer.has_more = true;
    std::exchange(fixture.peers.watches, {}).front().done(answer);
    fixture.loop.RunAll();
    CHECK(fixture.changes->status == KeyValueStatus::kUnknown);
    fixture.Watch();
  }
  SUBCASE("after a watch at the source was cancelled") {
    fixture.Watch();
    fixture.followed->CancelWatches();
    CHECK(fixture.changes->status == KeyValueStatus::kUnknown);
    fixture.Watch();
    SUBCASE("whose late answer is ignored") {
      fixture.AnswerAtPeer(KeyValueStatus::kOk, 9);
      CHECK_FALSE(fixture.changes);
    }
  }
  CHECK(fixture.peers.watches.size() <= 1);
  CHECK(fixture.store->watches.size() == 1);
}

TEST_CASE("what a watch brings is passed on to the peers that follow") {
  FollowedStoreFixture fixture;
  std::optional<KeyValueChanges> passed_on;
  const auto watch_here = [&] {
    passed_on.reset();
    fixture.own_watches.Watch(
        {4, 7, kWait},
        [&](const KeyValueChanges& changes) { passed_on = changes; });
  };
  SUBCASE("from the store") {
    fixture.followed->SetSource(std::nullopt);
    fixture.Watch();
    std::exchange(fixture.store->watches, {})
        .front()
        .done({KeyValueStatus::kOk, {{"key", "value"}}, 9});
    watch_here();
    REQUIRE(passed_on);
    CHECK(passed_on->revision == 9);
  }
  SUBCASE("from the source") {
    fixture.Watch();
    fixture.AnswerAtPeer(KeyValueStatus::kOk, 9);
    watch_here();
    REQUIRE(passed_on);
    CHECK(passed_on->revision == 9);
  }
  SUBCASE("but not once the store does not answer") {
    fixture.followed->SetSource(std::nullopt);
    fixture.Watch();
    std::exchange(fixture.store->watches, {})
        .front()
        .done({KeyValueStatus::kOk, {{"key", "value"}}, 9});
    fixture.Watch();
    fixture.store->AnswerWatch(KeyValueStatus::kUnknown);
    watch_here();
    CHECK(passed_on->status == KeyValueStatus::kHistoryGone);
  }
}

}  // namespace bramleyspoke
