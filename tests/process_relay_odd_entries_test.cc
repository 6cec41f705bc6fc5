#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet.h"
#include "fleet_network.h"
#include "relay_platform.h"
#include "relay_process.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;

constexpr std::chrono::seconds kEventTimeout{30};
// The users' bound on the time until a change is in force.
constexpr std::chrono::seconds kApplyBound{4};

std::string Entry(const std::string& address, const std::string& slots) {
  return R"({"service":"s","address":")" + address +
         R"(","zone":"z","version":"v1","slots":)" + slots +
         R"(,"state":"ready","cold_remaining_ms":0,"seq":1})";
}

// Keys and values that no leaf writes.
std::vector<std::pair<std::string, std::string>> OddEntries() {
  constexpr std::size_t kDepth = 100'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  return {
      {"servers/nested", nested},
      {"servers/nested-field", Entry("127.0.0.1:1", nested)},
      {"servers/nested-open", std::string(kDepth, '{')},
      {"servers/large-number", Entry("127.0.0.1:1", "1e999")},
      {"servers/larger-number", Entry("127.0.0.1:1", std::string(4000, '9'))},
      {"servers/32-bits", Entry("127.0.0.1:1", "4294967296")},
      {"servers/port", Entry("127.0.0.1:65536", "2")},
      {"servers/negative-port", Entry("127.0.0.1:-1", "2")},
      {"servers/bytes", std::string("\x00\xff{\"", 4)},
      {"servers/", Entry("127.0.0.1:1", "2")},
      {"servers/header\r\nRequest-Id: other", Entry("127.0.0.1:1", "2")},
      {"servers/" + std::string(190, 'x'), "{}"},
      {"servers", "1"},
  };
}

}  // namespace

// Guards against daemons that end, or stop following the list of leafs, after
// another writer has left an odd entry there.
TEST_CASE("a relay follows the list of leafs past the entries of others") {
  const auto network = Harness::FleetNetwork::Create().value();
  FakePlatformStore store;
  store.Put("op/config", SingleServiceRoutes(3, "/"));
  FakePlatformLeaf first("leaf-1");
  FakePlatformLeaf second("leaf-2");
  const auto put_odd_entries = [&] {
    for (const auto& [key, value] : OddEntries()) {
      store.Put(key, value);
    }
  };
  const auto start = [&] {
    return std::make_unique<RelayProcess>(network->Caller(0).host,
                                          store.Address(), "");
  };
  std::unique_ptr<RelayProcess> relay;
  store.Put("servers/leaf-1", first.Entry("s"));
  SUBCASE("there at its start") {
    put_odd_entries();
    relay = start();
    REQUIRE(WaitUntil([&] { return relay->Serves(); }, kEventTimeout));
  }
  SUBCASE("written while it runs") {
    relay = start();
    REQUIRE(WaitUntil([&] { return relay->Serves(); }, kEventTimeout));
    put_odd_entries();
  }
  store.Put("servers/leaf-2", second.Entry("s"));
  first.SayLeaving();
  CHECK_MESSAGE(WaitUntil(
                    [&] {
                      relay->Serves();
                      return !second.Arrivals().empty();
                    },
                    kApplyBound),
                relay->Log());
  CHECK(relay->IsRunning());
  for (int request = 0; request < 20; ++request) {
    CHECK(relay->Serves());
  }
}

}  // namespace bramleyspoke
