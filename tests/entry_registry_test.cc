#include "version/entry_registry.h"

#include <doctest/doctest.h>

#include "version/leaf_registration.h"
#include "version/route_table.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;

LeafRegistration Leaf(const std::string& id, std::uint16_t port) {
  LeafRegistration leaf;
  leaf.id = id;
  leaf.service = "s";
  leaf.address = {"127.0.0.1", port};
  return leaf;
}

}  // namespace

TEST_CASE(
    "a registration removed while the store is available is dropped at once") {
  EntryRegistry<LeafRegistration> registry;
  const TimePoint now{std::chrono::hours(1)};
  registry.Put("a", Leaf("a", 1));
  CHECK(registry.Remove("a", now));
  CHECK(registry.size() == 0);
}

TEST_CASE(
    "registrations that expire during a store outage are kept for a grace "
    "period") {
  EntryRegistry<LeafRegistration> registry;
  TimePoint now{std::chrono::hours(1)};
  registry.Put("a", Leaf("a", 1));
  registry.Put("b", Leaf("b", 2));
  registry.OnStoreUnavailable();
  now += std::chrono::seconds(20);
  registry.OnStoreAvailable(now);
  CHECK_FALSE(registry.RetainOnly({}, now));
  CHECK(registry.size() == 2);

  SUBCASE("a leaf that registers again in time is kept") {
    registry.Put("a", Leaf("a", 1));
    CHECK(registry.RemoveExpired(now + kReregistrationGrace));
    REQUIRE(registry.size() == 1);
    CHECK(registry.Values().front().id == "a");
  }
  SUBCASE("a leaf that does not register again is removed") {
    CHECK_FALSE(registry.RemoveExpired(now + milliseconds(1500)));
    CHECK(registry.NextExpiry() == now + kReregistrationGrace);
    CHECK(registry.RemoveExpired(now + kReregistrationGrace));
    CHECK(registry.size() == 0);
  }
  SUBCASE("a leaf whose address another leaf registers is removed at once") {
    registry.Put("c", Leaf("c", 1));
    CHECK(registry.size() == 2);
  }
}

TEST_CASE(
    "the route with the longest matching prefix of the host is selected") {
  std::vector<Route> routes(3);
  routes[0].name = "short";
  routes[0].host = "h";
  routes[0].prefix = "/a/";
  routes[1].name = "long";
  routes[1].host = "h";
  routes[1].prefix = "/a/b/";
  routes[2].name = "other";
  routes[2].host = "g";
  routes[2].prefix = "/";
  const RouteTable table(1, routes, {}, {});
  const auto name = [&](std::string_view host, std::string_view path) {
    const Route* route = table.Find(host, path);
    return route ? route->name : "none";
  };
  CHECK(name("h", "/a/x") == "short");
  CHECK(name("h", "/a/b/x") == "long");
  CHECK(name("h", "/a/bc") == "short");
  CHECK(name("h", "/b/") == "none");
  CHECK(name("h", "/a") == "none");
  CHECK(name("g", "/anything") == "other");
  CHECK(name("k", "/a/") == "none");
}

}  // namespace bramleyspoke
