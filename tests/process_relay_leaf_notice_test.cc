#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "fleet_network.h"
#include "relay_platform.h"
#include "relay_process.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = 2;
constexpr std::size_t kLeafs = 2;
constexpr seconds kEventTimeout{30};
// Requests on their way when a leaf answers, and their answers.
constexpr milliseconds kOnTheWay{500};

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

/// Two daemons under load, and a service with two leafs; requests have the
/// daemon's name as body.
class LoadedFleet {
 public:
  LoadedFleet() : m_network(Harness::FleetNetwork::Create().value()) {
    m_store.Put("op/config", SingleServiceRoutes(3, "/"));
    for (std::size_t i = 0; i < kLeafs; ++i) {
      const std::string id = "leaf-" + std::to_string(i);
      m_leafs.push_back(
          std::make_unique<FakePlatformLeaf>(id, m_network->Leaf(i)));
      m_store.Put("servers/" + id, m_leafs.back()->Entry("s"));
    }
    for (std::size_t i = 0; i < kDaemons; ++i) {
      const std::string ip = m_network->Caller(i).host;
      m_relays.push_back(
          std::make_unique<RelayProcess>(ip, m_store.Address(), ""));
    }
    for (const auto& relay : m_relays) {
      REQUIRE_MESSAGE(WaitUntil([&] { return relay->Serves(); }, kEventTimeout),
                      relay->Log());
    }
    for (std::size_t i = 0; i < kDaemons; ++i) {
      m_callers.emplace_back([this, i] { Load(i); });
    }
  }

  ~LoadedFleet() {
    m_is_stopping = true;
    for (std::thread& caller : m_callers) {
      caller.join();
    }
  }

  FakePlatformLeaf& Leaf(std::size_t index) { return *m_leafs[index]; }
  RelayProcess& Relay(std::size_t index) { return *m_relays[index]; }
  void LoseStore() { m_store.StopAnswering(); }
  /// Writes the leaf's entry again.
  void Register(std::size_t leaf) {
    m_store.Put("servers/leaf-" + std::to_string(leaf),
                m_leafs[leaf]->Entry("s"));
  }

  void WaitForArrivals(std::size_t leaf) {
    const std::size_t before = Leaf(leaf).Arrivals().size();
    REQUIRE(
        WaitUntil([&] { return Leaf(leaf).Arrivals().size() > before + 20; },
                  kEventTimeout));
  }
  /// Requests of the daemon that reached the leaf from `begin` to `end`.
  std::size_t ArrivalsFrom(std::size_t daemon,
                           std::size_t leaf,
                           TimePoint begin,
                           TimePoint end) {
    const auto arrivals = Leaf(leaf).Arrivals();
    return static_cast<std::size_t>(std::count_if(
        arrivals.begin(), arrivals.end(), [&](const LeafArrival& arrival) {
          return arrival.body == Name(daemon) && arrival.at >= begin &&
                 arrival.at < end;
        }));
  }
  int Served() const { return m_served; }

 private:
  static std::string Name(std::size_t daemon) {
    return "daemon-" + std::to_string(daemon);
  }

  void Load(std::size_t daemon) {
    while (!m_is_stopping) {
      m_served += m_relays[daemon]->Send(Name(daemon)).status == 200 ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(4));
    }
  }

  std::unique_ptr<Harness::FleetNetwork> m_network;
  FakePlatformStore m_store;
  std::vector<std::unique_ptr<FakePlatformLeaf>> m_leafs;
  std::vector<std::unique_ptr<RelayProcess>> m_relays;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<int> m_served = 0;
  std::vector<std::thread> m_callers;
};

}  // namespace

TEST_CASE(
    "a leaf that says that it is leaving gets no requests though the "
    "store does not answer") {
  LoadedFleet fleet;
  fleet.WaitForArrivals(0);
  fleet.LoseStore();
  fleet.Leaf(0).SayLeaving();
  std::this_thread::sleep_for(kOnTheWay);
  const TimePoint told = Now();
  const int served_before = fleet.Served();
  std::this_thread::sleep_for(seconds(3));
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    CHECK_MESSAGE(fleet.ArrivalsFrom(daemon, 0, told, Now()) == 0,
                  fleet.Relay(daemon).Log());
  }
  CHECK(fleet.Served() > served_before + 100);
}

TEST_CASE(
    "a leaf that asks for a pause gets none until it ends, then its "
    "requests again") {
  constexpr seconds kPause{3};
  LoadedFleet fleet;
  fleet.WaitForArrivals(0);
  fleet.Leaf(0).AskForPause(kPause);
  const TimePoint asked = Now();
  std::this_thread::sleep_for(kOnTheWay);
  fleet.Register(0);
  std::this_thread::sleep_until(asked + kPause);
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    CHECK_MESSAGE(
        fleet.ArrivalsFrom(daemon, 0, asked + kOnTheWay, asked + kPause) <= 2,
        fleet.Relay(daemon).Log());
  }
  fleet.WaitForArrivals(0);
}

TEST_CASE(
    "daemons keep together to the rate that a leaf names, also while one "
    "of them restarts") {
  constexpr double kRate = 10;
  constexpr seconds kNoticeTime{1};
  constexpr seconds kWindow{4};
  constexpr double kAllowed = 1.5 * kRate * 4 + 5;
  LoadedFleet fleet;
  fleet.WaitForArrivals(0);
  fleet.Leaf(0).NameRate(kRate);
  const TimePoint named = Now();
  std::this_thread::sleep_for(seconds(3));
  fleet.Relay(1).Restart();
  std::this_thread::sleep_for(seconds(4));
  // The daemon that restarted is not told before its first answer.
  std::vector<TimePoint> arrivals;
  for (const LeafArrival& arrival : fleet.Leaf(0).Arrivals()) {
    if (arrival.at >= named + kNoticeTime) {
      arrivals.push_back(arrival.at);
    }
  }
  std::size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    const auto end =
        std::lower_bound(first, arrivals.end(), *first + Duration(kWindow));
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  CHECK_MESSAGE(static_cast<double>(most) <= kAllowed, fleet.Relay(0).Log());
  CHECK(most > 0);
  fleet.Leaf(0).NameRate(std::nullopt);
  std::this_thread::sleep_for(seconds(1));
  fleet.WaitForArrivals(0);
}

}  // namespace bramleyspoke
