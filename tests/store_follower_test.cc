#include "process/store_follower.h"

#include <doctest/doctest.h>

#include <vector>

#include "held_store.h"
#include "manual_loop.h"

namespace bramleyspoke {
namespace {

class FollowerFixture : public StoreListener {
 public:
  FollowerFixture() : follower(loop, store, std::chrono::seconds(3), *this) {
    follower.Start();
    loop.RunNextTimer();
    store.AnswerRange();
    REQUIRE(store.watches.size() == 1);
  }

  void OnKeys(const std::vector<KeyValueItem>& /*items*/,
              const StoreCallEnd& end) override {
    ++reads;
    last_end = end;
  }
  void OnChanges(const std::vector<KeyValueEvent>& /*events*/,
                 const StoreCallEnd& /*end*/) override {}
  void OnStoreConfirmed(TimePoint /*at*/) override { ++confirmations; }
  void OnStoreUnavailable(const StoreCallEnd& end) override {
    ++outages;
    last_end = end;
  }
  void OnStoreAvailable() override { ++recoveries; }

  Duration Wait() const { return store.watches.front().wait; }

  ManualLoop loop;
  HeldStore store;
  StoreFollower follower;
  int reads = 0;
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

}  // namespace bramleyspoke
