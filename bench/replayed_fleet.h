#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "model_daemon.h"
#include "model_leaf.h"
#include "relay_load.h"

namespace bramleyspoke::Harness {

/// Name of the region with this number, and of its failure domain.
std::string RegionName(std::size_t region);
std::string DomainName(std::size_t region);

/// The fleet in simulated time.
class ReplayedFleet {
 public:
  explicit ReplayedFleet(const RelayLoad& load);

  RelayLoadReport Run();

  EventQueue& Events() { return m_events; }
  const RelayLoad& Load() const { return m_load; }
  const std::shared_ptr<const RouteTable>& Table() const { return m_table; }
  std::map<std::string, std::string, std::less<>> Regions() const;
  Duration DelayBetween(std::size_t region, std::size_t other) const {
    return region == other ? m_load.fleet.near_delay : m_load.fleet.far_delay;
  }
  ModelDaemon& DaemonAt(const Endpoint& address) {
    return *m_daemons.at(address.port - 1U);
  }
  std::size_t LeafRegion(std::size_t leaf) const {
    return m_load.fleet.leaf_regions[leaf % LeafsPerShard()];
  }
  ModelLeaf& Leaf(std::size_t leaf) { return *m_leafs[leaf]; }
  std::size_t ClassOf(const std::string& route) const;
  Duration SampleWork(std::size_t load_class);
  void CountArrival(std::size_t leaf, std::uint64_t id);
  void CountRefusal(std::size_t leaf) { ++FiguresOf(leaf).refused; }
  void OnEnd(const CallerRequest& request, const RelayOutcome& outcome);

 private:
  std::size_t LeafsPerShard() const { return m_load.fleet.leaf_regions.size(); }
  LeafFigures& FiguresOf(std::size_t leaf) {
    return m_is_faulty[leaf] ? m_report.faulty_leafs : m_report.sound_leafs;
  }
  void ScheduleArrival(std::size_t load_class);
  void Arrive(CallerRequest request);
  void SendAgain(CallerRequest request, Duration delay);
  void Record(const CallerRequest& request, LoadFigures figures);
  void MakeTable();
  void MakeLeafs();
  void MakeDaemons();

  RelayLoad m_load;
  EventQueue m_events;
  TimePoint m_begin;
  std::mt19937_64 m_random;
  std::shared_ptr<const RouteTable> m_table;
  std::vector<LeafRegistration> m_registrations;
  std::vector<std::unique_ptr<ModelLeaf>> m_leafs;
  std::vector<bool> m_is_faulty;
  std::vector<std::unique_ptr<ModelDaemon>> m_daemons;
  std::map<std::pair<std::uint64_t, std::size_t>, std::size_t> m_arrivals;
  std::uint64_t m_last_id = 0;
  RelayLoadReport m_report;
};

}  // namespace bramleyspoke::Harness
