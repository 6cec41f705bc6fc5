#include <doctest/doctest.h>

#include "request/leaf_load.h"
#include "request/leaf_slowness.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kRoundTrip = milliseconds(1);
constexpr Duration kUsualTime = milliseconds(20);
constexpr Duration kSlowTime = milliseconds(220);

// Leafs that have answered requests of one kind in the usual time.
class Leafs {
 public:
  Leafs() {
    for (int count = 0; count < 20; ++count) {
      Answer(slow, kUsualTime);
      Answer(sound, kUsualTime);
    }
  }

  void Answer(LeafLoad& leaf,
              Duration time,
              const std::optional<ReportedLoad>& load = std::nullopt) {
    leaf.OnSent(now);
    now += time + kRoundTrip;
    leaf.OnEnded(now);
    leaf.OnAnswered("kind", time + kRoundTrip, kRoundTrip, load, now);
    leaf.OnSuccess(now);
  }

  TimePoint now = kStart;
  std::shared_ptr<FleetStatistics> fleet = std::make_shared<FleetStatistics>();
  LeafLoad slow{2, kRoundTrip, fleet};
  LeafLoad sound{2, kRoundTrip, fleet};
};

}  // namespace

TEST_CASE("a leaf is slow if all of its last requests took long") {
  LeafSlowness slowness;
  TimePoint now = kStart;
  SUBCASE("one that waited for a stall does not count") {
    slowness.Record(15, now);
    slowness.Record(15, now);
    slowness.Record(1, now);
    CHECK(slowness.At(now) == 1);
  }
  SUBCASE("three of three do") {
    for (const double multiple : {9.0, 7.0, 11.0}) {
      slowness.Record(multiple, now);
    }
    CHECK(slowness.At(now) == 7);
    SUBCASE("it is forgotten without further requests") {
      CHECK(slowness.At(now + seconds(1)) > 5);
      CHECK(slowness.At(now + seconds(15)) < 1.1);
    }
    SUBCASE("one prompt answer shows that it has recovered") {
      slowness.Record(1.2, now);
      CHECK(slowness.At(now) == 1.2);
    }
  }
  SUBCASE("a request without an answer took at least so long") {
    for (const double multiple : {9.0, 9.0, 9.0}) {
      slowness.RecordAtLeast(multiple, now);
    }
    slowness.RecordAtLeast(2, now);
    CHECK(slowness.At(now) == 9);
  }
}

// A daemon sees few answers of a slow leaf, and each is a part that came late.
TEST_CASE("a leaf that has become slow costs more after three answers") {
  Leafs leafs;
  for (int count = 0; count < 3; ++count) {
    leafs.Answer(leafs.slow, kSlowTime);
  }
  leafs.now += seconds(1);
  CHECK(leafs.slow.Cost("kind", leafs.now) > kSlowTime / 2);
  CHECK(leafs.sound.Cost("kind", leafs.now) < 2 * kUsualTime);
}

// A slow leaf that gives parts up at their deadline never answers any.
TEST_CASE("a leaf that gives its requests up at their deadline is slow") {
  Leafs leafs;
  for (int count = 0; count < 3; ++count) {
    leafs.slow.OnExpired("kind", kSlowTime, ReportedLoad{2, 0, 2}, leafs.now);
  }
  leafs.now += seconds(1);
  CHECK(leafs.slow.Cost("kind", leafs.now) > kSlowTime / 2);
}

TEST_CASE("waiting behind other requests is no slowness") {
  Leafs leafs;
  ReportedLoad load;
  load.running = 2;
  load.waiting = 8;
  load.slots = 2;
  for (int count = 0; count < 3; ++count) {
    leafs.Answer(leafs.sound, 5 * kUsualTime, load);
  }
  leafs.now += seconds(5);
  CHECK(leafs.sound.Cost("kind", leafs.now) < 2 * kUsualTime);
}

}  // namespace bramleyspoke
