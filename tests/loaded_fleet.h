#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet_network.h"
#include "relay_platform.h"
#include "relay_process.h"

namespace bramleyspoke {

/// Daemons under steady load, and a service with two leafs. Each request has
/// the name of its daemon as body, by which the leafs' records tell them apart.
class LoadedFleet {
 public:
  static constexpr std::size_t kLeafs = 2;

  explicit LoadedFleet(std::size_t daemons);
  ~LoadedFleet();

  std::size_t Size() const { return m_relays.size(); }
  FakePlatformStore& Store() { return m_store; }
  FakePlatformLeaf& Leaf(std::size_t index) { return *m_leafs.at(index); }
  RelayProcess& Relay(std::size_t index) { return *m_relays.at(index); }
  std::vector<RelayProcess*> Relays();

  /// Writes the leaf's entry again.
  void Register(std::size_t leaf);
  /// Waits until requests reach the leaf.
  void WaitForArrivals(std::size_t leaf);
  /// The daemon's requests that reached the leaf, in order.
  std::vector<LeafArrival> ArrivalsOf(std::size_t daemon, std::size_t leaf);
  /// Requests that were answered with success.
  int Served() const { return m_served; }
  /// The body of a daemon's requests.
  static std::string Name(std::size_t daemon);

 private:
  void SendRequests(std::size_t daemon);

  std::unique_ptr<Harness::FleetNetwork> m_network;
  FakePlatformStore m_store;
  std::vector<std::unique_ptr<FakePlatformLeaf>> m_leafs;
  std::vector<std::unique_ptr<RelayProcess>> m_relays;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<int> m_served = 0;
  std::vector<std::thread> m_callers;
};

/// The most of `arrivals`, which are in order, in any window of this length
/// that begins at `from` or later.
std::size_t MostInWindow(const std::vector<TimePoint>& arrivals,
                         TimePoint from,
                         Duration window);

}  // namespace bramleyspoke
