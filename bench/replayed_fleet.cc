#include "replayed_fleet.h"

#include <algorithm>
#include <utility>

namespace bramleyspoke::Harness {
namespace {

// Time between a caller and a daemon, one way.
constexpr Duration kCallerDelay = std::chrono::milliseconds(1);
// Share of a late answer's worth.
constexpr double kLateCredit = 0.1;
// Sends of a request by its caller.
constexpr int kCallerSends = 2;

}  // namespace

std::string RegionName(std::size_t region) {
  return "r" + std::to_string(region);
}

std::string DomainName(std::size_t region) {
  return "d" + std::to_string(region);
}

ReplayedFleet::ReplayedFleet(const RelayLoad& load)
    : m_load(load), m_begin(m_events.Now()), m_random(load.seed) {
  m_report.by_class.resize(load.classes.size());
  m_report.by_second.resize(static_cast<std::size_t>(
      std::chrono::ceil<std::chrono::seconds>(load.length).count()));
  MakeTable();
  MakeLeafs();
  MakeDaemons();
}

std::map<std::string, std::string, std::less<>> ReplayedFleet::Regions() const {
  std::map<std::string, std::string, std::less<>> regions;
  for (std::size_t region = 0; region < m_load.fleet.daemons.size(); ++region) {
    regions[DomainName(region)] = RegionName(region);
  }
  return regions;
}

void ReplayedFleet::MakeTable() {
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  std::vector<std::string> shards;
  for (std::size_t shard = 0; shard < m_load.fleet.shards; ++shard) {
    shards.push_back("s" + std::to_string(shard));
    services.push_back(
        {shards.back(), "/health", m_load.fleet.connections_per_leaf});
  }
  for (const LoadClass& load_class : m_load.classes) {
    Route route;
    route.name = load_class.name;
    route.shards = shards;
    route.max_attempts = m_load.fleet.max_attempts;
    route.timeout = load_class.timeout;
    route.target_latency = load_class.target_latency;
    route.min_coverage = load_class.min_coverage;
    route.priority = load_class.priority;
    route.result_limit = 10;
    routes.push_back(std::move(route));
  }
  m_table = std::make_shared<const RouteTable>(
      1, std::move(routes), std::move(services), CallerLimits());
}

void ReplayedFleet::MakeLeafs() {
  for (std::size_t shard = 0; shard < m_load.fleet.shards; ++shard) {
    for (std::size_t leaf = 0; leaf < LeafsPerShard(); ++leaf) {
      const std::size_t number = m_leafs.size();
      LeafRegistration registration;
      registration.id = "l" + std::to_string(number);
      registration.service = "s" + std::to_string(shard);
      registration.address = {"127.0.1.1",
                              static_cast<std::uint16_t>(number + 1)};
      registration.failure_domain = DomainName(LeafRegion(leaf));
      registration.slots = m_load.fleet.leafs.slots;
      m_registrations.push_back(std::move(registration));
      std::vector<LeafFault> faults = m_load.FaultsOf(shard, leaf);
      m_is_faulty.push_back(!faults.empty());
      m_leafs.push_back(std::make_unique<ModelLeaf>(
          m_events, m_load.fleet.leafs, std::move(faults), m_random()));
    }
  }
}

void ReplayedFleet::MakeDaemons() {
  std::map<std::string, std::size_t> by_region;
  std::vector<RelayPeer> peers;
  for (std::size_t region = 0; region < m_load.fleet.daemons.size(); ++region) {
    by_region[RegionName(region)] = m_load.fleet.daemons[region];
    for (std::size_t count = 0; count < m_load.fleet.daemons[region]; ++count) {
      m_daemons.push_back(
          std::make_unique<ModelDaemon>(*this, m_daemons.size(), region));
      peers.push_back({m_daemons.back()->Address(), RegionName(region),
                       DomainName(region)});
    }
  }
  for (const auto& daemon : m_daemons) {
    RelayEngine& engine = daemon->Engine();
    engine.SetDaemons(by_region);
    engine.SetTable(m_table, m_events.Now());
    engine.SetLeafs(m_registrations, m_events.Now());
    std::vector<RelayPeer> others = peers;
    std::erase_if(others, [&](const RelayPeer& peer) {
      return peer.address == daemon->Address();
    });
    engine.SetPeers(others);
  }
}

std::size_t ReplayedFleet::ClassOf(const std::string& route) const {
  const auto found = std::find_if(
      m_load.classes.begin(), m_load.classes.end(),
      [&](const LoadClass& load_class) { return load_class.name == route; });
  return static_cast<std::size_t>(found - m_load.classes.begin());
}

Duration ReplayedFleet::SampleWork(std::size_t load_class) {
  return m_load.classes[load_class].work.Sample(m_random);
}

void ReplayedFleet::CountArrival(std::size_t leaf, std::uint64_t id) {
  LeafFigures& figures = FiguresOf(leaf);
  ++figures.arrivals;
  figures.repeats += m_arrivals[{id, leaf / LeafsPerShard()}]++ > 0 ? 1 : 0;
}

void ReplayedFleet::ScheduleArrival(std::size_t load_class) {
  const double per_second = m_load.classes[load_class].per_second *
                            m_load.RateFactor(m_events.Now() - m_begin);
  std::exponential_distribution<double> gap(per_second);
  const auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(m_random)));
  const TimePoint next = m_events.Now() + wait;
  if (next >= m_begin + m_load.length) {
    return;
  }
  m_events.At(next, [this, load_class] {
    CallerRequest request;
    request.load_class = load_class;
    request.arrived = m_events.Now();
    request.deadline = request.arrived + m_load.classes[load_class].timeout;
    Arrive(request);
    ScheduleArrival(load_class);
  });
}

void ReplayedFleet::Arrive(CallerRequest request) {
  request.id = ++m_last_id;
  ++request.sends;
  std::uniform_int_distribution<std::size_t> choice(0, m_daemons.size() - 1);
  ModelDaemon& daemon = *m_daemons[choice(m_random)];
  m_events.At(m_events.Now() + kCallerDelay,
              [&daemon, request] { daemon.Submit(request); });
}

void ReplayedFleet::OnEnd(const CallerRequest& request,
                          const RelayOutcome& outcome) {
  const TimePoint now = m_events.Now() + kCallerDelay;
  if (outcome.refusal) {
    const Duration left = request.deadline - now;
    const Duration wait = outcome.refusal->retry_after.value_or(Duration(0));
    const bool comes_back = request.sends < kCallerSends && wait < left / 3;
    if (comes_back) {
      SendAgain(request, wait);
      return;
    }
  }
  const LoadClass& load_class = m_load.classes[request.load_class];
  const double shards = static_cast<double>(m_load.fleet.shards);
  LoadFigures figures;
  figures.asked = 1;
  if (outcome.refusal) {
    const bool is_refused = outcome.refusal->verdict == Verdict::kNotRun;
    figures.refused = is_refused ? 1 : 0;
    figures.failed = is_refused ? 0 : 1;
    figures.longest_wait_in_vain = now - request.arrived;
    Record(request, figures);
    return;
  }
  const double coverage =
      (shards - static_cast<double>(outcome.missing_shards)) / shards;
  const bool is_in_time = now - request.arrived <= load_class.target_latency;
  figures.in_time = is_in_time ? 1 : 0;
  figures.late = is_in_time ? 0 : 1;
  figures.complete = is_in_time && outcome.missing_shards == 0 ? 1 : 0;
  figures.credit = coverage * coverage * (is_in_time ? 1 : kLateCredit);
  Record(request, figures);
}

void ReplayedFleet::SendAgain(CallerRequest request, Duration delay) {
  m_events.At(m_events.Now() + 2 * kCallerDelay + delay,
              [this, request] { Arrive(request); });
}

void ReplayedFleet::Record(const CallerRequest& request, LoadFigures figures) {
  const auto second = static_cast<std::size_t>(
      std::chrono::floor<std::chrono::seconds>(request.arrived - m_begin)
          .count());
  m_report.by_class[request.load_class].Add(figures);
  m_report.by_second.at(second).Add(figures);
}

RelayLoadReport ReplayedFleet::Run() {
  for (std::size_t index = 0; index < m_load.classes.size(); ++index) {
    ScheduleArrival(index);
  }
  constexpr std::chrono::seconds kDrainTime{10};
  m_events.RunUntil(m_begin + m_load.length + kDrainTime);
  return m_report;
}

}  // namespace bramleyspoke::Harness
