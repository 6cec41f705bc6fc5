#include "connection/loop_lag.h"

#include <doctest/doctest.h>

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;

const TimePoint kDue{std::chrono::hours(1)};

}  // namespace

TEST_CASE("what is expected of a loop follows how late it was") {
  LoopLag lag;
  CHECK(lag.Expected() == Duration::zero());
  for (int i = 0; i < 100; ++i) {
    lag.Observe(kDue, kDue + milliseconds(6));
  }
  CHECK(lag.Expected() > milliseconds(5));
  CHECK(lag.Expected() < milliseconds(7));

  SUBCASE("lag that varies asks for more than its mean") {
    for (int i = 0; i < 100; ++i) {
      lag.Observe(kDue, kDue + milliseconds(i % 2 == 0 ? 2 : 10));
    }
    CHECK(lag.Expected() > milliseconds(10));
  }
  SUBCASE("and it passes") {
    for (int i = 0; i < 100; ++i) {
      lag.Observe(kDue, kDue - milliseconds(1));
    }
    CHECK(lag.Expected() < milliseconds(1));
  }
}

}  // namespace bramleyspoke
