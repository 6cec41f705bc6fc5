#include "process/store_follower.h"

#include <doctest/doctest.h>

#include <vector>

#include "held_store.h"
#include "manual_loop.h"

namespace bramleyspoke {
namespace {

class FollowerFixture : public StoreListener {
 public:
  FollowerFixture() : follower(loop, store, "", *this) {
    follower.Start();
    loop.RunNextTimer();
    store.AnswerRange();
    REQUIRE(store.watches.size() == 1);
  }

  void OnKeys(const std::vector<KeyValueItem>& /*items*/) override {}
  void OnChanges(const std::vector<KeyValueEvent>& /*events*/) override {}
  void OnStoreLost(KeyValueStatus /*status*/) override { ++losses; }
  void OnStoreBack() override { ++returns; }

  Duration Wait() const { return store.watches.front().wait; }

  ManualLoop loop;
  HeldStore store;
  StoreFollower follower;
  int losses = 0;
  int returns = 0;
};

}  // namespace

TEST_CASE("a watch is short while the store does not answer") {
  FollowerFixture fixture;
  CHECK(fixture.Wait() == kServingPace.watch_time);
  fixture.store.AnswerWatch(KeyValueStatus::kUnknown);
  CHECK(fixture.losses == 1);
  fixture.loop.RunNextTimer();
  CHECK(fixture.Wait() == StoreFollower::kProbeTime);

  fixture.store.AnswerWatch(KeyValueStatus::kOk);
  CHECK(fixture.returns == 1);
  fixture.loop.RunNextTimer();
  CHECK(fixture.Wait() == kServingPace.watch_time);
}

TEST_CASE("another unanswered call replaces the watch by a short one") {
  FollowerFixture fixture;
  fixture.follower.Doubt();
  CHECK(fixture.losses == 0);
  REQUIRE(fixture.store.watches.size() == 1);
  CHECK(fixture.Wait() == StoreFollower::kProbeTime);

  SUBCASE("the store stays available if it answers the short watch") {
    fixture.store.AnswerWatch(KeyValueStatus::kOk);
    CHECK(fixture.losses == 0);
    fixture.loop.RunNextTimer();
    CHECK(fixture.Wait() == kServingPace.watch_time);
  }
  SUBCASE("the store is unavailable if it does not answer the short watch") {
    fixture.follower.Doubt();
    CHECK(fixture.store.watches.size() == 1);
    fixture.store.AnswerWatch(KeyValueStatus::kUnknown);
    CHECK(fixture.losses == 1);
  }
}

}  // namespace bramleyspoke
