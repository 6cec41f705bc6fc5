#include <doctest/doctest.h>

#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "relay_platform.h"
#include "relay_process.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;

constexpr std::chrono::seconds kEventTimeout{30};
constexpr std::chrono::seconds kLeafRestartDelay{2};
// Time in which a leaf that restarts is known to all daemons again.
constexpr std::chrono::milliseconds kSettleTime{500};
constexpr int kLeafs = 6;
constexpr std::uint16_t kLeafPort = 9000;
const std::string kSeed = R"("127.0.6.1:8106")";

const std::string kRoutes =
    R"({"version":3,"routes":[{"name":"lookup","host":"h","prefix":"/",)"
    R"("route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":500,)"
    R"("service":"s","max_attempts":2}],)"
    R"("services":[{"name":"s","health_path":"/health",)"
    R"("connection_limit":100,"protocol":"h1","tls":false}],)"
    R"("limits":{"header_bytes":16384,"body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// Three daemons, the store and a service whose leafs crash on the same
/// request.
class CrashingFleet {
 public:
  CrashingFleet() {
    m_store.Put("op/config", kRoutes);
    for (int i = 0; i < kLeafs; ++i) {
      AddLeaf(i);
    }
    for (const char* ip : {"127.0.6.1", "127.0.6.2", "127.0.6.3"}) {
      m_relays.push_back(
          std::make_unique<RelayProcess>(ip, m_store.Address(), kSeed));
    }
    WaitForDaemons();
  }

  RelayProcess& Relay(std::size_t index) { return *m_relays.at(index); }

  /// Sends the crashing request to a daemon, waits until the leafs are back and
  /// returns how many it has crashed.
  int Send(std::size_t relay) {
    const int before = Crashes();
    m_last_answer = Relay(relay).Send(std::string(kCrashingBody));
    const int crashed = Crashes() - before;
    if (crashed > 0) {
      std::this_thread::sleep_for(kLeafRestartDelay + kSettleTime);
    }
    return crashed;
  }

  /// Sends the request to the first two daemons in turn until it is refused
  /// without having reached a leaf.
  void SendUntilRefused() {
    for (std::size_t request = 0; Send(request % 2) > 0; ++request) {
      REQUIRE(request < 10);
    }
  }

  void WaitForDaemons() {
    for (const auto& relay : m_relays) {
      REQUIRE_MESSAGE(WaitUntil([&] { return relay->Serves(); }, kEventTimeout),
                      relay->Log());
    }
    std::this_thread::sleep_for(kSettleTime);
  }

  void LoseStore() { m_store.StopAnswering(); }

  const HttpResponse& LastAnswer() const { return m_last_answer; }

 private:
  static constexpr std::string_view kCrashingBody =
      FakePlatformLeaf::kCrashingBody;

  void AddLeaf(int index) {
    const std::string id = "leaf-" + std::to_string(index);
    const Endpoint address{"127.0.7." + std::to_string(index + 1), kLeafPort};
    m_leafs.push_back(std::make_unique<FakePlatformLeaf>(id, address));
    FakePlatformLeaf& leaf = *m_leafs.back();
    const auto register_leaf = [this, &leaf, id] {
      m_store.Put("servers/" + id, leaf.Entry("s"));
    };
    register_leaf();
    leaf.RestartAfter(kLeafRestartDelay, register_leaf);
  }

  int Crashes() const {
    int count = 0;
    for (const auto& leaf : m_leafs) {
      count += leaf->Crashes();
    }
    return count;
  }

  FakePlatformStore m_store;
  std::vector<std::unique_ptr<FakePlatformLeaf>> m_leafs;
  std::vector<std::unique_ptr<RelayProcess>> m_relays;
  HttpResponse m_last_answer;
};

}  // namespace

TEST_CASE("a request that crashes leafs is refused by daemons that restarted") {
  CrashingFleet fleet;
  fleet.SendUntilRefused();
  for (std::size_t relay = 0; relay < 3; ++relay) {
    fleet.Relay(relay).Restart();
  }
  fleet.WaitForDaemons();
  for (std::size_t relay = 0; relay < 3; ++relay) {
    CHECK_MESSAGE(fleet.Send(relay) == 0, fleet.Relay(relay).Log());
    CHECK(fleet.LastAnswer().status == 503);
  }
}

TEST_CASE(
    "a request that crashes leafs is refused by a daemon that restarted while "
    "the store does not answer") {
  CrashingFleet fleet;
  fleet.SendUntilRefused();
  fleet.LoseStore();
  fleet.Relay(2).Restart();
  fleet.WaitForDaemons();
  CHECK_MESSAGE(fleet.Send(2) == 0, fleet.Relay(2).Log());
  CHECK(fleet.LastAnswer().status == 503);
}

TEST_CASE(
    "a request that crashes leafs is refused by a daemon that was paused "
    "meanwhile") {
  CrashingFleet fleet;
  fleet.Relay(2).Signal(SIGSTOP);
  fleet.SendUntilRefused();
  fleet.Relay(2).Signal(SIGCONT);
  std::this_thread::sleep_for(std::chrono::seconds(5));
  CHECK_MESSAGE(fleet.Send(2) == 0, fleet.Relay(2).Log());
  CHECK(fleet.LastAnswer().status == 503);
}

}  // namespace bramleyspoke
