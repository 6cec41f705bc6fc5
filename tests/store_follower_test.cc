#include "process/store_follower.h"

#include <doctest/doctest.h>

#include <limits>
#include <vector>

#include "held_store.h"
#include "manual_loop.h"

namespace bramleyspoke {
namespace {

class FollowerFixture : public StoreListener {
 public:
  FollowerFixture() : follower(loop, store, std::chrono::seconds(3), *this) {
    follower.SetTimings(kHolderTimings);
    follower.Start();
    loop.RunNextTimer();
    store.AnswerRange();
    store.AnswerWatch(KeyValueStatus::kOk);
    loop.RunNextTimer();
    REQUIRE(store.watches.size() == 1);
  }

  void OnKeys(const std::vector<KeyValueItem>& read,
              const StoreCallEnd& end) override {
    ++reads;
    items.clear();
    for (const KeyValueItem& item : read) {
      items.emplace_back(item.key, item.value);
    }
    last_end = end;
  }
  void OnChanges(const std::vector<KeyValueEvent>& events,
                 const StoreCallEnd& /*end*/) override {
    changes += events.size();
  }
  Duration DelayOfNextPage(const std::vector<KeyValueItem>& read) override {
    return read.size() == 2 ? page_delay : Duration::zero();
  }
  void OnStoreConfirmed(TimePoint /*at*/) override { ++confirmations; }
  void OnStoreUnavailable(const StoreCallEnd& end) override {
    ++outages;
    last_end = end;
  }
  void OnStoreAvailable() override { ++recoveries; }

  /// Answers the outstanding watch as a peer.
  void AnswerAsPeer(std::int64_t revision) {
    REQUIRE(store.watches.size() == 1);
    KeyValueChanges answer;
    answer.status = KeyValueStatus::kOk;
    answer.events = {{"key", "value"}};
    answer.revision = revision;
    answer.is_from_peer = true;
    std::exchange(store.watches, {}).front().done(std::move(answer));
  }

  /// Runs timers until the revision is read, and answers the read.
  void AnswerRevision(std::int64_t revision) {
    while (store.revision_reads.empty()) {
      REQUIRE(loop.RunNextTimer());
    }
    std::exchange(store.revision_reads, {})
        .front()({KeyValueStatus::kOk, revision});
  }

  Duration Wait() const { return store.watches.front().wait; }

  ManualLoop loop;
  HeldStore store;
  StoreFollower follower;
  /// Delay after the second page.
  Duration page_delay{0};
  int reads = 0;
  std::vector<std::pair<std::string, std::string>> items;
  std::size_t changes = 0;
  StoreCallEnd last_end;
  int confirmations = 0;
  int outages = 0;
  int recoveries = 0;
};

}  // namespace

TEST_CASE("a watch is short while the store does not answer") {
  FollowerFixture fixture;
  CHECK(fixture.Wait() == kHolderTimings.watch_wait);
  fixture.store.AnswerWatch(KeyValueStatus::kUnknown);
  CHECK(fixture.outages == 0);
  CHECK(fixture.Wait() == StoreFollower::kProbeWait);
  fixture.store.AnswerWatch(KeyValueStatus::kUnknown);
  CHECK(fixture.outages == 1);
  fixture.loop.RunNextTimer();
  CHECK(fixture.Wait() == StoreFollower::kProbeWait);

  fixture.store.AnswerWatch(KeyValueStatus::kOk);
  CHECK(fixture.recoveries == 1);
  fixture.loop.RunNextTimer();
  CHECK(fixture.Wait() == kHolderTimings.watch_wait);
}

TEST_CASE("a watch that is not answered although the store has changed") {
  FollowerFixture fixture;
  const auto read_revision = [&](KeyValueStatus status, std::int64_t revision) {
    REQUIRE(fixture.loop.RunNextTimer());
    REQUIRE(fixture.store.revision_reads.size() == 1);
    std::exchange(fixture.store.revision_reads, {}).front()({status, revision});
  };
  constexpr auto kOk = KeyValueStatus::kOk;

  SUBCASE("is replaced by a short one") {
    read_revision(kOk, HeldStore::kRevision);
    read_revision(kOk, HeldStore::kRevision + 1);
    CHECK(fixture.Wait() == kHolderTimings.watch_wait);
    fixture.loop.RunNextTimer();
    CHECK(fixture.Wait() == StoreFollower::kProbeWait);
    CHECK(fixture.outages == 0);
  }
  SUBCASE("stays if its response was on its way") {
    read_revision(kOk, HeldStore::kRevision + 1);
    fixture.store.AnswerWatch(kOk);
    fixture.loop.RunNextTimer();
    CHECK(fixture.Wait() == kHolderTimings.watch_wait);
  }
  SUBCASE("stays if the revision is one of some seconds ago") {
    read_revision(kOk, HeldStore::kRevision - 3);
    CHECK(fixture.Wait() == kHolderTimings.watch_wait);
  }
  SUBCASE("is replaced if the revision can't be read") {
    read_revision(KeyValueStatus::kUnknown, 0);
    CHECK(fixture.Wait() == StoreFollower::kProbeWait);
    CHECK(fixture.outages == 0);
  }
  SUBCASE("a read for an earlier watch says nothing") {
    REQUIRE(fixture.loop.RunNextTimer());
    const auto early = std::exchange(fixture.store.revision_reads, {}).front();
    fixture.store.AnswerWatch(kOk);
    fixture.loop.RunNextTimer();
    early({KeyValueStatus::kUnknown, 0});
    CHECK(fixture.Wait() == kHolderTimings.watch_wait);
  }
  CHECK(fixture.store.watches.size() == 1);
}

TEST_CASE("the store is asked at once whether what is known is current") {
  FollowerFixture fixture;
  constexpr auto kOk = KeyValueStatus::kOk;
  SUBCASE("while a watch waits, once at a time") {
    fixture.follower.CheckNow();
    fixture.follower.CheckNow();
  }
  SUBCASE("in the delay before the next watch, which ends") {
    fixture.store.AnswerWatch(kOk);
    fixture.follower.CheckNow();
    CHECK(fixture.store.revision_reads.empty());
    fixture.loop.RunNextTimer();
    REQUIRE(fixture.store.watches.size() == 1);
  }
  REQUIRE(fixture.store.revision_reads.size() == 1);
  const int before = fixture.confirmations;
  fixture.store.revision_reads.front()({kOk, HeldStore::kRevision});
  CHECK(fixture.confirmations == before + 1);
}

// After an outage of the store, more changes wait than one response has. With
// a delay after each, routes came into force seconds after their bound.
TEST_CASE("a response to a watch that is full is followed by a watch at once") {
  FollowerFixture fixture;
  const int before = fixture.confirmations;
  const auto answer = [&](bool has_more) {
    REQUIRE(fixture.store.watches.size() == 1);
    std::exchange(fixture.store.watches, {})
        .front()
        .done({KeyValueStatus::kOk,
               {{"key", "value"}},
               HeldStore::kRevision,
               has_more});
    fixture.loop.RunTimersUntil(std::chrono::steady_clock::now());
  };
  answer(true);
  answer(true);
  CHECK(fixture.confirmations == before);
  CHECK(fixture.store.watches.size() == 1);

  answer(false);
  CHECK(fixture.confirmations == before + 1);
  CHECK(fixture.store.watches.empty());
}

TEST_CASE("a refused watch shows at once that the store is unavailable") {
  FollowerFixture fixture;
  fixture.store.AnswerWatch(KeyValueStatus::kRefused);
  CHECK(fixture.outages == 1);
}

TEST_CASE("the end of a call tells for how long the store has been silent") {
  FollowerFixture fixture;
  CHECK(fixture.confirmations == 1);
  CHECK_FALSE(fixture.last_end.unconfirmed);
  fixture.store.AnswerWatch(KeyValueStatus::kOk);
  CHECK(fixture.confirmations == 2);
  fixture.loop.RunNextTimer();
  fixture.store.AnswerWatch(KeyValueStatus::kRefused);
  CHECK(fixture.confirmations == 2);
  CHECK(fixture.last_end.status == KeyValueStatus::kRefused);
  REQUIRE(fixture.last_end.unconfirmed);
  CHECK(*fixture.last_end.unconfirmed >= fixture.last_end.waited);
}

TEST_CASE("a probe replaces the outstanding watch by a short one") {
  FollowerFixture fixture;
  fixture.follower.Probe();
  CHECK(fixture.outages == 0);
  REQUIRE(fixture.store.watches.size() == 1);
  CHECK(fixture.Wait() == StoreFollower::kProbeWait);

  SUBCASE("the store stays available if it answers the short watch") {
    fixture.store.AnswerWatch(KeyValueStatus::kOk);
    CHECK(fixture.outages == 0);
    fixture.loop.RunNextTimer();
    CHECK(fixture.Wait() == kHolderTimings.watch_wait);
  }
  SUBCASE("the store is unavailable if it does not answer the short watch") {
    fixture.follower.Probe();
    CHECK(fixture.store.watches.size() == 1);
    fixture.store.AnswerWatch(KeyValueStatus::kUnknown);
    CHECK(fixture.outages == 1);
  }
}

TEST_CASE("in a new era of the store all keys are read again at once") {
  FollowerFixture fixture;
  REQUIRE(fixture.reads == 1);
  SUBCASE("the watch is dropped") {
    fixture.follower.ReadAgain();
    CHECK(fixture.store.watches.empty());
  }
  SUBCASE("a read that had begun before is ignored") {
    fixture.store.AnswerWatch(KeyValueStatus::kHistoryGone);
    fixture.loop.RunNextTimer();
    REQUIRE(fixture.store.ranges.size() == 1);
    const auto old_read = std::move(fixture.store.ranges.front());
    fixture.store.ranges.clear();
    fixture.follower.ReadAgain();
    old_read({KeyValueStatus::kOk, {}, false, 99});
    CHECK(fixture.reads == 1);
  }
  SUBCASE("twice in a row") {
    fixture.follower.ReadAgain();
    fixture.follower.ReadAgain();
  }
  fixture.loop.RunNextTimer();
  fixture.store.AnswerRange();
  CHECK(fixture.reads == 2);
  CHECK(fixture.store.watches.size() == 1);
  CHECK(fixture.outages == 0);
}

// A process that starts must not use a leaf that has left, or an old version.
TEST_CASE("an old read of all keys is reported with what has changed since") {
  ManualLoop loop;
  HeldStore store;
  FollowerFixture listener;
  listener.reads = 0;
  StoreFollower follower(loop, store, std::chrono::seconds(3), listener);
  follower.Start();
  loop.RunNextTimer();
  CHECK(store.read_ages == std::vector{ReadAge::kMayBeOld});
  const auto answer_page = [&](std::int64_t revision, bool has_more) {
    REQUIRE(store.ranges.size() == 1);
    const std::string key = "key" + std::to_string(revision);
    std::exchange(store.ranges, {})
        .front()({KeyValueStatus::kOk, {{key, "old"}}, has_more, revision});
  };
  const auto answer_watch = [&](std::vector<KeyValueEvent> events,
                                bool has_more) {
    REQUIRE(store.watches.size() == 1);
    CHECK(store.watches.front().wait == StoreFollower::kCatchUpWait);
    std::exchange(store.watches, {})
        .front()
        .done({KeyValueStatus::kOk, std::move(events), 111, has_more});
  };
  answer_page(100, true);
  answer_page(95, true);
  answer_page(110, false);
  REQUIRE(store.watches.size() == 1);
  CHECK(store.watches.front().revision == 95);
  answer_watch({{"key95", std::nullopt}, {"key100", "new"}}, true);
  CHECK(listener.reads == 0);
  loop.RunNextTimer();
  answer_watch({{"key111", "new"}}, false);
  CHECK(listener.reads == 1);
  using Items = std::vector<std::pair<std::string, std::string>>;
  CHECK(listener.items ==
        Items{{"key100", "new"}, {"key110", "old"}, {"key111", "new"}});
}

TEST_CASE("the listener may delay the next page of the first read") {
  ManualLoop loop;
  HeldStore store;
  FollowerFixture listener;
  listener.page_delay = std::chrono::seconds(1);
  StoreFollower follower(loop, store, std::chrono::seconds(3), listener);
  follower.Start();
  loop.RunNextTimer();
  const auto answer_page = [&] {
    REQUIRE(store.ranges.size() == 1);
    std::exchange(store.ranges, {})
        .front()({KeyValueStatus::kOk, {{"key", "old"}}, true, 7});
  };
  answer_page();
  answer_page();
  CHECK(store.ranges.empty());
  loop.RunTimersUntil(std::chrono::steady_clock::now());
  CHECK(store.ranges.empty());
  SUBCASE("which follows") {
    loop.RunNextTimer();
    CHECK(store.ranges.size() == 1);
  }
  SUBCASE("but not in a new era of the store") {
    follower.ReadAgain();
    loop.RunTimersUntil(std::chrono::steady_clock::now());
    answer_page();
    answer_page();
    CHECK(store.ranges.size() == 1);
  }
}

TEST_CASE("an old read whose changes are not known is repeated") {
  ManualLoop loop;
  HeldStore store;
  FollowerFixture listener;
  listener.reads = 0;
  StoreFollower follower(loop, store, std::chrono::seconds(3), listener);
  follower.Start();
  loop.RunNextTimer();
  store.AnswerRange();
  SUBCASE("when the store has lost its history") {
    store.AnswerWatch(KeyValueStatus::kHistoryGone);
  }
  SUBCASE("when the store begins a new era") {
    follower.ReadAgain();
  }
  loop.RunNextTimer();
  CHECK(listener.reads == 0);
  store.AnswerRange();
  CHECK(store.read_ages.back() == ReadAge::kCurrent);
  CHECK(listener.reads == 1);
}

TEST_CASE("what a peer answers does not show that the store is current") {
  FollowerFixture fixture;
  const int before = fixture.confirmations;
  fixture.AnswerAsPeer(HeldStore::kRevision + 1);
  CHECK(fixture.changes == 1);
  CHECK(fixture.confirmations == before);
  fixture.AnswerRevision(HeldStore::kRevision + 1);
  CHECK(fixture.confirmations == before + 1);
}

// A peer may be paused, cut off or behind, and still answer.
TEST_CASE("a daemon whose peer is behind the store asks the store itself") {
  FollowerFixture fixture;
  fixture.AnswerAsPeer(HeldStore::kRevision + 1);
  SUBCASE("while its watch waits") {
    while (fixture.store.watches.empty()) {
      REQUIRE(fixture.loop.RunNextTimer());
    }
    fixture.AnswerRevision(HeldStore::kRevision + 9);
    REQUIRE(fixture.loop.RunNextTimer());
  }
  SUBCASE("also if the peer keeps answering") {
    while (fixture.store.watches.empty()) {
      REQUIRE(fixture.loop.RunNextTimer());
    }
    fixture.AnswerRevision(HeldStore::kRevision + 9);
    fixture.AnswerAsPeer(HeldStore::kRevision + 2);
    while (fixture.store.watches.empty()) {
      REQUIRE(fixture.loop.RunNextTimer());
    }
    for (int i = 0; i < 3 && fixture.Wait() != StoreFollower::kProbeWait; ++i) {
      REQUIRE(fixture.loop.RunNextTimer());
    }
  }
  REQUIRE(fixture.store.watches.size() == 1);
  CHECK(fixture.Wait() == StoreFollower::kProbeWait);
  CHECK(fixture.outages == 0);
}

TEST_CASE("changes that arrive after a check has shown them confirm it") {
  FollowerFixture fixture;
  fixture.AnswerAsPeer(HeldStore::kRevision + 1);
  while (fixture.store.watches.empty()) {
    REQUIRE(fixture.loop.RunNextTimer());
  }
  const int before = fixture.confirmations;
  fixture.AnswerRevision(HeldStore::kRevision + 2);
  fixture.AnswerAsPeer(HeldStore::kRevision + 2);
  CHECK(fixture.confirmations == before);
  while (fixture.confirmations == before) {
    REQUIRE(fixture.loop.RunNextTimer());
  }
  CHECK(fixture.store.revision_reads.empty());
}

TEST_CASE("all keys are read again if a peer gave a revision from nowhere") {
  FollowerFixture fixture;
  fixture.AnswerAsPeer(std::numeric_limits<std::int64_t>::max());
  fixture.AnswerRevision(HeldStore::kRevision);
  while (fixture.store.watches.empty()) {
    REQUIRE(fixture.loop.RunNextTimer());
  }
  CHECK(fixture.Wait() == kHolderTimings.watch_wait);
  fixture.AnswerRevision(HeldStore::kRevision);
  CHECK(fixture.store.watches.empty());
  fixture.loop.RunNextTimer();
  fixture.store.AnswerRange();
  CHECK(fixture.store.read_ages.back() == ReadAge::kCurrent);
  REQUIRE(fixture.store.watches.size() == 1);
  CHECK(fixture.store.watches.front().revision == HeldStore::kRevision);
}

}  // namespace bramleyspoke
