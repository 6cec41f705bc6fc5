#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "fleet.h"
#include "fleet_network.h"
#include "relay_platform.h"
#include "relay_process.h"
#include "silent_proxy.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;

constexpr std::chrono::seconds kEventTimeout{30};

// Routes of this version with one route to two shards, for the paths under
// `prefix`.
std::string ShardedRoutes(int version, const std::string& prefix) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"sweep","host":"h","prefix":")" + prefix +
         R"(",)"
         R"("route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":500,)"
         R"("max_attempts":2,"result_limit":5,"min_shard_ratio":1,)"
         R"("fanout_services":["s","t"]}],)"
         R"("services":[{"name":"s","health_path":"/health",)"
         R"("connection_limit":100,"protocol":"h1","tls":false},)"
         R"({"name":"t","health_path":"/health",)"
         R"("connection_limit":100,"protocol":"h1","tls":false}],)"
         R"("limits":{"header_bytes":16384,"body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

struct FakePlatform {
  FakePlatform() {
    store.Put("op/config", SingleServiceRoutes(3, "/"));
    for (std::size_t i = 0; i < leafs.size(); ++i) {
      store.Put("servers/leaf-" + std::to_string(i), leafs[i]->Entry("s"));
    }
  }

  /// Address of a daemon.
  std::string Daemon(std::size_t index) const {
    return network->Caller(index).host;
  }

  std::unique_ptr<Harness::FleetNetwork> network =
      Harness::FleetNetwork::Create().value();
  FakePlatformStore store;
  std::vector<std::unique_ptr<FakePlatformLeaf>> leafs = MakeLeafs();

 private:
  static std::vector<std::unique_ptr<FakePlatformLeaf>> MakeLeafs() {
    std::vector<std::unique_ptr<FakePlatformLeaf>> leafs;
    for (const char* id : {"leaf-0", "leaf-1", "leaf-2"}) {
      leafs.push_back(std::make_unique<FakePlatformLeaf>(id));
    }
    return leafs;
  }
};

std::string QuotedAddress(const Endpoint& address) {
  return "\"" + ToString(address) + "\"";
}

}  // namespace

// A leaf cannot answer such a request in a way that tells its answer from
// others.
TEST_CASE("a request without an id is refused and not passed on") {
  FakePlatform platform;
  const RelayProcess relay(platform.Daemon(0), platform.store.Address(), "");
  REQUIRE(WaitUntil([&] { return relay.Serves(); }, kEventTimeout));
  const HttpResponse response = SendRequest(
      relay.Callers(), {"POST", "/lookup", {{"Host", "h"}}, "unidentified"});
  CHECK(response.status == 400);
  for (const auto& leaf : platform.leafs) {
    for (const LeafArrival& arrival : leaf->Arrivals()) {
      CHECK(arrival.body != "unidentified");
    }
  }
}

TEST_CASE(
    "a relay that starts while the store does not answer serves requests") {
  FakePlatform platform;
  const RelayProcess first(platform.Daemon(0), platform.store.Address(), "");
  const bool is_serving =
      WaitUntil([&] { return first.Serves(); }, kEventTimeout);
  REQUIRE_MESSAGE(is_serving, first.Log());
  CHECK(first.Metrics().find(R"(what="store_reachable"} 1)") !=
        std::string::npos);
  platform.store.StopAnswering();
  const RelayProcess second(platform.Daemon(1), platform.store.Address(),
                            QuotedAddress(first.Peers()));
  CHECK(WaitUntil([&] { return second.Serves(); }, kEventTimeout));
  CHECK(first.Serves());
  const auto is_store_unreachable = [](const RelayProcess& relay) {
    return relay.Metrics().find(R"(what="store_reachable"} 0)") !=
           std::string::npos;
  };
  CHECK(WaitUntil([&] { return is_store_unreachable(first); }, kEventTimeout));
}

TEST_CASE("a relay follows a store that comes back from an older copy") {
  // The users' bound on the time until new routes are in force.
  constexpr std::chrono::seconds kRoutesBound{4};
  FakePlatform platform;
  const RelayProcess relay(platform.Daemon(0), platform.store.Address(), "");
  const auto serves = [&](const std::string& path) {
    return relay.Send("plain", path).status == 200;
  };
  REQUIRE(WaitUntil([&] { return serves("/"); }, kEventTimeout));
  platform.store.TakeCopy();
  for (int version = 4; version < 9; ++version) {
    platform.store.Put("op/config", SingleServiceRoutes(version, "/before/"));
  }
  REQUIRE(WaitUntil([&] { return serves("/before/"); }, kEventTimeout));

  platform.store.ReturnToCopy();
  CHECK(serves("/before/"));
  platform.store.Put("op/config", SingleServiceRoutes(9, "/after/"));
  CHECK_MESSAGE(WaitUntil([&] { return serves("/after/"); }, kRoutesBound),
                relay.Log());
  CHECK(WaitUntil(
      [&] {
        return relay.Log().find("store_era_changed") != std::string::npos;
      },
      kEventTimeout));
}

TEST_CASE(
    "a relay that starts on an older copy of the store serves the routes that "
    "were in force") {
  FakePlatform platform;
  const RelayProcess running(platform.Daemon(0), platform.store.Address(), "");
  RelayProcess restarted(platform.Daemon(1), platform.store.Address(),
                         QuotedAddress(running.Peers()));
  REQUIRE(WaitUntil([&] { return restarted.Serves(); }, kEventTimeout));
  platform.store.TakeCopy();
  platform.store.Put("op/config", SingleServiceRoutes(4, "/newer/"));
  const auto has_newer_routes = [](const RelayProcess& relay) {
    return relay.Send("plain", "/newer/").status == 200 &&
           relay.Send("plain", "/older/").status == 404;
  };
  REQUIRE(WaitUntil([&] { return has_newer_routes(running); }, kEventTimeout));

  platform.store.ReturnToCopy();
  restarted.Restart();
  REQUIRE(WaitUntil(
      [&] {
        return restarted.Metrics().find(R"(what="ready"} 1)") !=
               std::string::npos;
      },
      kEventTimeout));
  // The users' bound on the time until new routes are in force.
  constexpr std::chrono::seconds kRoutesBound{3};
  CHECK_MESSAGE(
      WaitUntil([&] { return has_newer_routes(restarted); }, kRoutesBound),
      restarted.Log());
}

// The far daemon delegates its shards to the near one, whose answers show the
// version of its routes.
TEST_CASE("a relay that the store rejects serves new routes that a peer has") {
  FakePlatform platform;
  platform.store.Put("servers/leaf-t", platform.leafs[0]->Entry("t"));
  platform.store.Put("op/config", ShardedRoutes(4, "/old/"));
  const auto proxy = SilentProxy::Create(platform.store.Address());
  const RelayProcess near(platform.Daemon(0), platform.store.Address(), "");
  const RelayProcess far(platform.Daemon(1), proxy->Address(),
                         QuotedAddress(near.Peers()), {"y", "far"});
  const auto serves = [](const RelayProcess& relay, const std::string& path) {
    return relay.Send("plain", path).status == 200;
  };
  REQUIRE(WaitUntil([&] { return serves(near, "/old/"); }, kEventTimeout));
  REQUIRE(WaitUntil([&] { return serves(far, "/old/"); }, kEventTimeout));
  REQUIRE(WaitUntil(
      [&] {
        return far.Metrics().find(R"(what="daemons"} 2)") != std::string::npos;
      },
      kEventTimeout));

  proxy->RefuseAll();
  // A leaf that only the new routes lead to, and that the far daemon does not
  // know.
  FakePlatformLeaf added("leaf-3");
  platform.store.Put("servers/leaf-3", added.Entry("u"));
  std::string routes = ShardedRoutes(5, "/old/");
  const std::string route = R"({"name":"new","host":"h","prefix":"/new/",)"
                            R"("route_kind":"idempotent","timeout_ms":2000,)"
                            R"("target_latency_ms":500,"service":"u",)"
                            R"("max_attempts":1},)";
  routes.insert(routes.find("[{\"name\":\"sweep\"") + 1, route);
  const std::string service = R"({"name":"u","health_path":"/health",)"
                              R"("connection_limit":100,"protocol":"h1",)"
                              R"("tls":false},)";
  routes.insert(routes.find("\"services\":[") + 12, service);
  platform.store.Put("op/config", routes);
  // The users' bound on the time until new routes are in force.
  constexpr std::chrono::seconds kRoutesBound{3};
  CHECK_MESSAGE(WaitUntil(
                    [&] {
                      serves(far, "/old/");
                      return serves(far, "/new/");
                    },
                    kRoutesBound),
                far.Log());
  CHECK(serves(far, "/old/"));

  proxy->ServeAgain();
  CHECK(WaitUntil(
      [&] {
        return far.Metrics().find(R"(what="store_reachable"} 1)") !=
               std::string::npos;
      },
      kEventTimeout));
  CHECK(serves(far, "/new/"));
}

}  // namespace bramleyspoke
