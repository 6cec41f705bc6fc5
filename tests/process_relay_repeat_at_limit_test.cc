#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "fleet.h"
#include "fleet_network.h"
#include "platform/wire_names.h"
#include "relay_platform.h"
#include "relay_process.h"
#include "scripted_leaf.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;

constexpr std::chrono::seconds kEventTimeout{30};
constexpr std::chrono::milliseconds kWork{10};
constexpr std::chrono::seconds kPoolTime{1};
constexpr int kRefusals = 3;
constexpr int kRequests = 10;

std::string Replace(std::string text,
                    const std::string& part,
                    const std::string& other) {
  return text.replace(text.find(part), part.size(), other);
}

std::string Routes() {
  return Replace(SingleServiceRoutes(3, "/"), R"("route_kind":"idempotent")",
                 R"("route_kind":"non_idempotent")");
}

// Refuses the first arrivals of each request.
LeafBehaviour RefuseFirst(const ScriptedArrival& arrival) {
  if (arrival.body == "refused first" && arrival.number <= kRefusals) {
    return {{503, true, "full"},
            Duration::zero(),
            std::nullopt,
            SecondAnswerTime::kBeforeNext};
  }
  return {
      {200, false, "own"}, kWork, std::nullopt, SecondAnswerTime::kBeforeNext};
}

}  // namespace

// Guards against a repeat on a new connection that the leaf resets unread: the
// request then counts as possibly run and is given up.
TEST_CASE("a repeat is not lost at a leaf that takes no new connections") {
  const auto network = Harness::FleetNetwork::Create().value();
  FakePlatformStore store;
  ScriptedLeaf leaf(RefuseFirst);
  store.Put("op/config", Routes());
  store.Put("servers/leaf", leaf.Entry("s"));
  const RelayProcess relay(network->Caller(0).host, store.Address(), "");
  const auto send = [&](const std::string& id, const std::string& body) {
    return SendRequest(
        relay.Callers(),
        {"POST",
         "/lookup",
         {{"Host", "h"}, {std::string(Platform::kRequestId), id}},
         body});
  };
  REQUIRE(WaitUntil([&] { return send("ready", "plain").status == 200; },
                    kEventTimeout));
  int given_up = 0;
  for (int request = 0; request < kRequests; ++request) {
    leaf.RefuseConnections(false);
    std::this_thread::sleep_for(kPoolTime);
    leaf.RefuseConnections(true);
    const std::string id = "r" + std::to_string(request);
    const int status = send(id, "refused first").status;
    const bool is_served_or_refused = status == 200 || status == 503;
    given_up += !is_served_or_refused && leaf.Runs(id) == 0 ? 1 : 0;
  }
  CHECK(given_up == 0);
}

}  // namespace bramleyspoke
