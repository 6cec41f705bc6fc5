#include "process/unrouted_requests.h"

#include <doctest/doctest.h>

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

UnroutedRequest ArrivedAt(TimePoint arrived) {
  return {nullptr, arrived};
}

}  // namespace

TEST_CASE(
    "routes count as current for a while after the store confirmed them") {
  UnroutedRequests requests;
  CHECK_FALSE(requests.AreRoutesCurrent(kStart));
  requests.OnConfirmed(kStart);
  CHECK(requests.AreRoutesCurrent(kStart + milliseconds(100)));
  CHECK_FALSE(requests.AreRoutesCurrent(kStart + milliseconds(101)));
  SUBCASE("which a response that comes late does not shorten") {
    requests.OnConfirmed(kStart - milliseconds(100));
    CHECK(requests.AreRoutesCurrent(kStart + milliseconds(100)));
  }
}

TEST_CASE("a request without a route is held until the routes are confirmed") {
  UnroutedRequests requests;
  requests.OnConfirmed(kStart);
  const TimePoint arrived = kStart + milliseconds(2000);
  requests.Hold(ArrivedAt(arrived));
  requests.Hold(ArrivedAt(arrived + milliseconds(300)));
  CHECK(requests.TakeConfirmed().empty());
  CHECK(requests.NextExpiry() == arrived + milliseconds(500));

  SUBCASE("by a response since it arrived") {
    requests.OnConfirmed(arrived + milliseconds(310));
    CHECK(requests.TakeConfirmed().size() == 2);
    CHECK_FALSE(requests.NextExpiry());
  }
  SUBCASE("by a response shortly before it arrived") {
    requests.OnConfirmed(arrived - milliseconds(80));
    const auto confirmed = requests.TakeConfirmed();
    REQUIRE(confirmed.size() == 1);
    CHECK(confirmed.front().arrived == arrived);
  }
  SUBCASE("or until it was held for too long") {
    const TimePoint now = arrived + milliseconds(600);
    const auto expired = requests.TakeExpired(now);
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().arrived == arrived);
    CHECK(requests.NextExpiry() == arrived + milliseconds(800));
    CHECK(requests.TakeExpired(now).empty());
  }
}

}  // namespace bramleyspoke
