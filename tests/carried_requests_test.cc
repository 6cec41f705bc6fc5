#include "connection/carried_requests.h"

#include <doctest/doctest.h>

#include <string>

namespace bramleyspoke {
namespace {

using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};

}  // namespace

TEST_CASE("a connection carries a request once until its deadline has passed") {
  CarriedRequests carried;
  CHECK(carried.MayCarry("a"));
  carried.Add("a", kNow + seconds(2), kNow);
  CHECK_FALSE(carried.MayCarry("a"));
  CHECK(carried.MayCarry("b"));
}

TEST_CASE("a request without an id needs an unused connection") {
  CarriedRequests carried;
  CHECK(carried.MayCarry(""));
  carried.Add("a", kNow + seconds(2), kNow);
  CHECK_FALSE(carried.MayCarry(""));
}

TEST_CASE("requests are remembered until they are no longer repeated") {
  CarriedRequests carried;
  carried.Add("long", kNow + seconds(60), kNow);
  TimePoint now = kNow;
  for (int number = 0; number < 20000; ++number) {
    now += std::chrono::milliseconds(10);
    const std::string id = std::to_string(number);
    REQUIRE(carried.MayCarry(id));
    carried.Add(id, now + seconds(2), now);
    REQUIRE_FALSE(carried.MayCarry(id));
    if (now < kNow + seconds(60)) {
      REQUIRE_FALSE(carried.MayCarry("long"));
    }
  }
  CHECK(carried.MayCarry("long"));
  CHECK(carried.MayCarry("0"));
}

TEST_CASE(
    "a connection that was nearly full carries more once requests expire") {
  CarriedRequests carried;
  std::size_t number = 0;
  for (; number + 1 < CarriedRequests::kMaxRequests; ++number) {
    carried.Add(std::to_string(number), kNow + seconds(60), kNow);
  }
  const TimePoint later = kNow + seconds(62);
  for (int more = 0; more < 10000; ++more, ++number) {
    REQUIRE(carried.MayCarry(std::to_string(number)));
    carried.Add(std::to_string(number), later + seconds(2),
                later + std::chrono::milliseconds(10 * more));
  }
}

TEST_CASE("a connection that has carried too many requests carries no more") {
  CarriedRequests carried;
  for (std::size_t number = 0; number < CarriedRequests::kMaxRequests;
       ++number) {
    REQUIRE(carried.MayCarry("next"));
    carried.Add(std::to_string(number), kNow + seconds(60), kNow);
  }
  CHECK_FALSE(carried.MayCarry("next"));
}

}  // namespace bramleyspoke
