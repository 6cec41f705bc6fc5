#include "loaded_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

#include "fleet.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;

constexpr std::chrono::seconds kEventTimeout{30};
constexpr std::chrono::milliseconds kRequestInterval{4};
constexpr std::size_t kArrivalsToWaitFor = 20;

std::string LeafId(std::size_t leaf) {
  return "leaf-" + std::to_string(leaf);
}

}  // namespace

LoadedFleet::LoadedFleet(std::size_t daemons)
    : m_network(Harness::FleetNetwork::Create().value()) {
  m_store.Put("op/config", SingleServiceRoutes(3, "/"));
  for (std::size_t leaf = 0; leaf < kLeafs; ++leaf) {
    m_leafs.push_back(std::make_unique<FakePlatformLeaf>(
        LeafId(leaf), m_network->Leaf(leaf)));
    Register(leaf);
  }
  for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
    m_relays.push_back(std::make_unique<RelayProcess>(
        m_network->Caller(daemon).host, m_store.Address(), ""));
  }
  for (const auto& relay : m_relays) {
    REQUIRE_MESSAGE(WaitUntil([&] { return relay->Serves(); }, kEventTimeout),
                    relay->Log());
  }
  for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
    m_callers.emplace_back([this, daemon] { SendRequests(daemon); });
  }
}

LoadedFleet::~LoadedFleet() {
  m_is_stopping = true;
  for (std::thread& caller : m_callers) {
    caller.join();
  }
}

std::vector<RelayProcess*> LoadedFleet::Relays() {
  std::vector<RelayProcess*> relays;
  for (const auto& relay : m_relays) {
    relays.push_back(relay.get());
  }
  return relays;
}

void LoadedFleet::Register(std::size_t leaf) {
  m_store.Put("servers/" + LeafId(leaf), m_leafs.at(leaf)->Entry("s"));
}

void LoadedFleet::WaitForArrivals(std::size_t leaf) {
  const std::size_t before = Leaf(leaf).Arrivals().size();
  REQUIRE(WaitUntil(
      [&] {
        return Leaf(leaf).Arrivals().size() >= before + kArrivalsToWaitFor;
      },
      kEventTimeout));
}

std::vector<LeafArrival> LoadedFleet::ArrivalsOf(std::size_t daemon,
                                                 std::size_t leaf) {
  std::vector<LeafArrival> arrivals = Leaf(leaf).Arrivals();
  std::erase_if(arrivals, [&](const LeafArrival& arrival) {
    return arrival.body != Name(daemon);
  });
  return arrivals;
}

std::string LoadedFleet::Name(std::size_t daemon) {
  return "daemon-" + std::to_string(daemon);
}

void LoadedFleet::SendRequests(std::size_t daemon) {
  while (!m_is_stopping) {
    m_served += m_relays[daemon]->Send(Name(daemon)).status == 200 ? 1 : 0;
    std::this_thread::sleep_for(kRequestInterval);
  }
}

std::size_t MostInWindow(const std::vector<TimePoint>& arrivals,
                         TimePoint from,
                         Duration window) {
  std::size_t most = 0;
  for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
       first != arrivals.end(); ++first) {
    const auto end = std::lower_bound(first, arrivals.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

}  // namespace bramleyspoke
