#include "version/leaf_registry.h"

#include <doctest/doctest.h>

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

TEST_CASE("a registration that is removed is gone at once") {
  LeafRegistry registry;
  const TimePoint now{std::chrono::hours(1)};
  registry.Put(Leaf("a", 1), now);
  CHECK(registry.Remove("a", now));
  CHECK(registry.size() == 0);
}

TEST_CASE("what lapses while the store is away is kept for its return") {
  LeafRegistry registry;
  TimePoint now{std::chrono::hours(1)};
  registry.Put(Leaf("a", 1), now);
  registry.Put(Leaf("b", 2), now);
  registry.OnStoreLost();
  now += std::chrono::seconds(20);
  registry.OnStoreBack(now);
  CHECK_FALSE(registry.RetainOnly({}, now));
  CHECK(registry.size() == 2);

  SUBCASE("a leaf that registers again in time stays") {
    registry.Put(Leaf("a", 1), now + std::chrono::seconds(1));
    CHECK(registry.Settle(now + LeafRegistry::kReturnTime));
    REQUIRE(registry.size() == 1);
    CHECK(registry.Leafs().front().id == "a");
  }
  SUBCASE("one that does not is gone then") {
    CHECK_FALSE(registry.Settle(now + milliseconds(1500)));
    CHECK(registry.NextSettle() == now + LeafRegistry::kReturnTime);
    CHECK(registry.Settle(now + LeafRegistry::kReturnTime));
    CHECK(registry.size() == 0);
  }
  SUBCASE("one whose address another leaf takes is gone at once") {
    registry.Put(Leaf("c", 1), now);
    CHECK(registry.size() == 2);
  }
}

TEST_CASE("the longest prefix of the host selects the route") {
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
