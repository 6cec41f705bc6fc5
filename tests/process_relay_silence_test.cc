#include <doctest/doctest.h>

#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "relay_platform.h"
#include "relay_process.h"
#include "silent_proxy.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kEventTimeout{30};
// The users' bounds: a daemon has to follow the rules again this long after a
// disturbance, and to serve by a version this long after it was acknowledged.
constexpr seconds kStableWindow{4};
constexpr seconds kApplyBound{3};
// Requests for a route from the bound on, and their interval.
constexpr int kProbes = 20;
constexpr milliseconds kProbeInterval{50};

const std::string kBase = "/base/";
const std::string kAdded = "/added/";

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::string RouteJson(const std::string& prefix) {
  return R"({"name":"r)" + prefix + R"(","host":"h","prefix":")" + prefix +
         R"(","route_kind":"idempotent","timeout_ms":2000,)"
         R"("target_latency_ms":500,"service":"s","max_attempts":1})";
}

// A leaf's connections suffice for three holders.
std::string RoutesJson(int version, const std::string& routes) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes +
         R"(],"services":[{"name":"s","health_path":"/health",)"
         R"("connection_limit":20,"protocol":"h1","tls":false}],)"
         R"("limits":{"header_bytes":16384,"body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

/// Daemons that each reach the store through a proxy.
class ProxiedFleet {
 public:
  explicit ProxiedFleet(std::size_t daemons) {
    m_store.Put("op/config", RoutesJson(3, RouteJson(kBase)));
    for (const char* id : {"leaf-0", "leaf-1", "leaf-2"}) {
      m_leafs.push_back(std::make_unique<FakePlatformLeaf>(id));
      RegisterLeaf(m_leafs.size() - 1);
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      m_proxies.push_back(SilentProxy::Create(m_store.Address()));
      m_relays.push_back(std::make_unique<RelayProcess>(
          "127.0.8." + std::to_string(i + 1), m_proxies.back()->Address(),
          i == 0 ? "" : "\"127.0.8.1:8106\""));
    }
    for (const auto& relay : m_relays) {
      REQUIRE_MESSAGE(WaitUntil([&] { return Status(*relay, kBase) == 200; },
                                kEventTimeout),
                      relay->Log());
    }
    WaitUntilSettled();
  }

  RelayProcess& Relay(std::size_t index) { return *m_relays.at(index); }
  FakePlatformStore& Store() { return m_store; }
  std::size_t Size() const { return m_relays.size(); }

  static int Status(const RelayProcess& relay, const std::string& path) {
    return relay.Send("plain", path).status;
  }

  std::size_t Holders() const {
    std::size_t count = 0;
    for (const auto& relay : m_relays) {
      count += relay->Metrics().find(R"(what="holder"} 1)") == std::string::npos
                   ? 0
                   : 1;
    }
    return count;
  }

  /// Answers all watches by a change; the daemons send the next ones after a
  /// delay.
  void AnswerWatches() {
    RegisterLeaf(0);
    REQUIRE(m_store.OpenWatches() == 0);
    // The responses pass the proxies.
    std::this_thread::sleep_for(milliseconds(100));
  }

  void WaitForWatches() {
    REQUIRE(WaitUntil([&] { return m_store.OpenWatches() == Size(); },
                      kEventTimeout));
  }

  void SilenceAll(Silence silence, std::string_view text) {
    for (const auto& proxy : m_proxies) {
      REQUIRE(proxy->SilenceOpen(silence, text) > 0);
    }
  }

  void SignalAll(int signal) {
    for (const auto& relay : m_relays) {
      relay->Signal(signal);
    }
  }

  void AddRoute() {
    m_store.Put("op/config",
                RoutesJson(4, RouteJson(kBase) + "," + RouteJson(kAdded)));
  }

  /// Number of requests for the added route that each daemon does not serve
  /// from `since` on.
  std::vector<int> CountUnserved(TimePoint since) {
    std::this_thread::sleep_until(since);
    std::vector<int> unserved(Size());
    for (int probe = 0; probe < kProbes; ++probe) {
      for (std::size_t i = 0; i < Size(); ++i) {
        unserved[i] += Status(Relay(i), kAdded) == 200 ? 0 : 1;
      }
      std::this_thread::sleep_for(kProbeInterval);
    }
    return unserved;
  }

 private:
  void RegisterLeaf(std::size_t index) {
    m_store.Put("servers/leaf-" + std::to_string(index),
                m_leafs[index]->Entry("s"));
  }

  // The daemons know each other, and no change is on its way.
  void WaitUntilSettled() {
    const std::string all =
        R"(what="daemons"} )" + std::to_string(m_relays.size());
    for (const auto& relay : m_relays) {
      REQUIRE(WaitUntil(
          [&] { return relay->Metrics().find(all) != std::string::npos; },
          kEventTimeout));
    }
    WaitForWatches();
    std::this_thread::sleep_for(seconds(2));
    WaitForWatches();
  }

  FakePlatformStore m_store;
  std::vector<std::unique_ptr<FakePlatformLeaf>> m_leafs;
  std::vector<std::unique_ptr<SilentProxy>> m_proxies;
  std::vector<std::unique_ptr<RelayProcess>> m_relays;
};

}  // namespace

TEST_CASE(
    "a new version is in force in time although connections to the store have "
    "gone silent") {
  Silence silence = Silence::kAcknowledged;
  std::string silent_connections;
  bool is_watch_waiting = true;
  bool is_paused = false;
  std::size_t daemons = 1;
  SUBCASE("the one of the watch, whose data is acknowledged") {
    silent_connections = "kv-watch";
    SUBCASE("while it waits") {}
    SUBCASE("while it waits and the daemon is paused") {
      is_paused = true;
    }
    SUBCASE("before it is sent") {
      is_watch_waiting = false;
    }
  }
  SUBCASE("the one of the watch, whose data is not acknowledged") {
    silence = Silence::kUnacknowledged;
    silent_connections = "kv-watch";
    SUBCASE("while it waits") {}
    SUBCASE("before it is sent") {
      is_watch_waiting = false;
    }
  }
  SUBCASE("those of all calls, at holders and a standby") {
    daemons = 4;
    SUBCASE("whose data is acknowledged") {}
    SUBCASE("whose data is not acknowledged") {
      silence = Silence::kUnacknowledged;
      is_watch_waiting = false;
    }
  }
  SUBCASE("those of the watches, at holders and a standby") {
    daemons = 4;
    silent_connections = "kv-watch";
    is_watch_waiting = false;
  }
  CAPTURE(silent_connections);
  CAPTURE(is_watch_waiting);
  CAPTURE(daemons);
  ProxiedFleet fleet(daemons);
  REQUIRE(fleet.Holders() == std::min<std::size_t>(daemons, 3));
  fleet.AnswerWatches();
  if (is_watch_waiting) {
    fleet.WaitForWatches();
  }

  const TimePoint silenced = Now();
  fleet.SilenceAll(silence, silent_connections);
  if (is_paused) {
    fleet.SignalAll(SIGSTOP);
  }
  std::this_thread::sleep_for(seconds(1));
  if (is_paused) {
    fleet.SignalAll(SIGCONT);
  }
  fleet.AddRoute();
  const TimePoint due = std::max(silenced + Duration(kStableWindow),
                                 Now() + Duration(kApplyBound));
  const std::vector<int> unserved = fleet.CountUnserved(due);
  for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
    CAPTURE(daemon);
    CHECK(unserved[daemon] == 0);
  }
}

TEST_CASE(
    "a request for a route that was just added is not refused as missing") {
  // A refusal may rest on what the store has shown within this time.
  constexpr milliseconds kMaxRefusalAge{100};
  ProxiedFleet fleet(1);
  fleet.AnswerWatches();
  SUBCASE("before the next watch is sent") {}
  SUBCASE("while the watch's connection is silent") {
    fleet.WaitForWatches();
    fleet.SilenceAll(Silence::kAcknowledged, "kv-watch");
    std::this_thread::sleep_for(seconds(1));
  }
  fleet.AddRoute();
  std::this_thread::sleep_for(kMaxRefusalAge + milliseconds(20));
  for (int probe = 0; probe < kProbes; ++probe) {
    CHECK(ProxiedFleet::Status(fleet.Relay(0), kAdded) != 404);
  }
}

}  // namespace bramleyspoke
