#include "request/leaf_pause.h"

#include <doctest/doctest.h>

#include <set>

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kShare = 6;

}  // namespace

TEST_CASE("a pause lasts at least as long as the leaf asked for") {
  LeafPause pause;
  CHECK_FALSE(pause.IsPaused(kStart));
  pause.OnAnnounced(milliseconds(2500), kStart);
  CHECK(pause.IsPaused(kStart + milliseconds(2499)));
  CHECK_FALSE(pause.IsPaused(kStart + milliseconds(3000)));
}

TEST_CASE("a shorter pause does not end a longer one") {
  LeafPause pause;
  pause.OnAnnounced(seconds(10), kStart);
  pause.OnAnnounced(seconds(1), kStart + seconds(2));
  CHECK(pause.IsPaused(kStart + milliseconds(9999)));
}

TEST_CASE("no pause excludes a leaf for good") {
  LeafPause pause;
  pause.OnAnnounced(std::chrono::hours(24), kStart);
  CHECK(pause.IsPaused(kStart + LeafPause::kMaxPause - milliseconds(1)));
  CHECK_FALSE(
      pause.IsPaused(kStart + LeafPause::kMaxPause + LeafPause::kMaxSpread));
}

TEST_CASE("daemons that were paused together return at different times") {
  std::set<TimePoint> ends;
  for (int daemon = 0; daemon < 20; ++daemon) {
    LeafPause pause;
    pause.OnAnnounced(seconds(4), kStart + std::chrono::nanoseconds(daemon));
    ends.insert(pause.End());
  }
  CHECK(ends.size() == 20);
  CHECK(*ends.rbegin() - *ends.begin() > milliseconds(400));
}

TEST_CASE("after a pause the share returns step by step") {
  LeafPause pause;
  CHECK(pause.AttemptLimit(kShare) == kShare);
  pause.OnAnnounced(seconds(1), kStart);
  const TimePoint end = pause.End();
  CHECK(pause.AttemptLimit(kShare) == 1);
  // Sent before the pause.
  pause.OnAnswered(kStart - milliseconds(5));
  CHECK(pause.AttemptLimit(kShare) == 1);
  pause.OnAnswered(end);
  CHECK(pause.AttemptLimit(kShare) == 2);
  pause.OnAnswered(end + milliseconds(1));
  CHECK(pause.AttemptLimit(kShare) == 4);
  pause.OnAnswered(end + milliseconds(2));
  CHECK(pause.AttemptLimit(kShare) == kShare);
}

}  // namespace bramleyspoke
