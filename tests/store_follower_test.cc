#include "process/store_follower.h"

#include <doctest/doctest.h>

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "manual_loop.h"

namespace bramleyspoke {
namespace {

// Holds each call until the test answers it.
class HeldStore final : public KeyValueStore {
 public:
  struct HeldWatch {
    Duration wait{0};
    std::function<void(KeyValueChanges)> done;
  };

  void Range(const std::string& /*prefix*/,
             const std::string& /*after*/,
             std::function<void(KeyValuePage)> done) override {
    ranges.push_back(std::move(done));
  }
  void Watch(const std::string& /*prefix*/,
             std::int64_t /*revision*/,
             Duration wait,
             std::function<void(KeyValueChanges)> done) override {
    watches.push_back({wait, std::move(done)});
  }
  void DropWatches() override {
    for (const HeldWatch& watch : std::exchange(watches, {})) {
      watch.done({KeyValueStatus::kUnknown, {}, 0});
    }
  }
  void Grant(Duration /*time_to_live*/,
             std::function<void(LeaseGrant)> /*done*/) override {}
  void Renew(LeaseId /*lease*/,
             std::function<void(KeyValueStatus)> /*done*/) override {}
  void Revoke(LeaseId /*lease*/,
              std::function<void(KeyValueStatus)> /*done*/) override {}
  void Put(const std::string& /*key*/,
           const std::string& /*value*/,
           LeaseId /*lease*/,
           std::function<void(KeyValueStatus)> /*done*/) override {}

  void AnswerRange() {
    REQUIRE(ranges.size() == 1);
    std::exchange(ranges, {}).front()({KeyValueStatus::kOk, {}, false, 7});
  }
  void AnswerWatch(KeyValueStatus status) {
    REQUIRE(watches.size() == 1);
    std::exchange(watches, {}).front().done({status, {}, 7});
  }

  std::vector<std::function<void(KeyValuePage)>> ranges;
  std::vector<HeldWatch> watches;
};

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

TEST_CASE("a watch that a silent store may never answer is a short one") {
  FollowerFixture fixture;
  CHECK(fixture.Wait() == StoreFollower::kWatchTime);
  fixture.store.AnswerWatch(KeyValueStatus::kUnknown);
  CHECK(fixture.losses == 1);
  fixture.loop.RunNextTimer();
  CHECK(fixture.Wait() == StoreFollower::kProbeTime);

  fixture.store.AnswerWatch(KeyValueStatus::kOk);
  CHECK(fixture.returns == 1);
  fixture.loop.RunNextTimer();
  CHECK(fixture.Wait() == StoreFollower::kWatchTime);
}

TEST_CASE("another call without an answer puts the watch in doubt") {
  FollowerFixture fixture;
  fixture.follower.Doubt();
  CHECK(fixture.losses == 0);
  REQUIRE(fixture.store.watches.size() == 1);
  CHECK(fixture.Wait() == StoreFollower::kProbeTime);

  SUBCASE("the store answers the short one: all is well") {
    fixture.store.AnswerWatch(KeyValueStatus::kOk);
    CHECK(fixture.losses == 0);
    fixture.loop.RunNextTimer();
    CHECK(fixture.Wait() == StoreFollower::kWatchTime);
  }
  SUBCASE("it does not: the store is lost") {
    fixture.follower.Doubt();
    CHECK(fixture.store.watches.size() == 1);
    fixture.store.AnswerWatch(KeyValueStatus::kUnknown);
    CHECK(fixture.losses == 1);
  }
}

}  // namespace bramleyspoke
