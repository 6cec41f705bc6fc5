#include "relay_load.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <utility>

#include "request/relay_engine.h"

namespace bramleyspoke::Harness {
namespace {

// Time between a caller and a daemon, one way.
constexpr Duration kCallerDelay = std::chrono::milliseconds(1);
// Share of a late answer's worth.
constexpr double kLateCredit = 0.1;
// Part of the target latency that a daemon leaves for the way to the caller.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(7);
// Sends of a request by its caller.
constexpr int kCallerSends = 2;

std::string RegionName(std::size_t region) {
  return "r" + std::to_string(region);
}

std::string DomainName(std::size_t region) {
  return "d" + std::to_string(region);
}

class Replayed;

// A caller's request, over all of its sends.
struct CallerRequest {
  std::size_t load_class = 0;
  TimePoint arrived;
  TimePoint deadline;
  int sends = 0;
  std::uint64_t id = 0;
};

// A relay engine with its requests, attempts and delegations.
class ModelDaemon {
 public:
  ModelDaemon(Replayed& replayed, std::size_t index, std::size_t region);

  void Submit(const CallerRequest& request);
  void SubmitForPeer(const RelayDelegation& delegation,
                     const Route& route,
                     std::uint64_t id,
                     ModelDaemon& from);
  void ContinueForPeer(const RelayDelegation& delegation, ModelDaemon& from);
  void OnDelegationReply(RelayAttemptNumber number, DelegationReply reply);
  RelayEngine& Engine() { return m_engine; }
  std::size_t Region() const { return m_region; }
  Endpoint Address() const {
    return {"127.0.2.1", static_cast<std::uint16_t>(m_index + 1)};
  }

 private:
  struct InFlight {
    // Set for a caller's request.
    std::optional<CallerRequest> caller;
    // Set for a peer's.
    ModelDaemon* peer = nullptr;
    RelayAttemptNumber delegation = 0;
    RelayAttemptNumber origin = 0;
    std::vector<std::string> shards;
    TimePoint arrived;
    std::shared_ptr<const RouteTable> table;
    std::uint64_t id = 0;
  };

  void Apply(RelayActions actions);
  void Send(const RelayAttempt& attempt);
  void Cancel(RelayAttemptNumber number);
  void CancelForPeer(RelayAttemptNumber origin, const ModelDaemon& from);
  std::uint64_t KeyOf(RelayAttemptNumber number) const;
  void Delegate(const RelayDelegation& delegation);
  void Finish(RelayFinish finish);
  void AnswerPeer(InFlight& request, const RelayOutcome& outcome);
  void ArmTimer();

  Replayed& m_replayed;
  std::size_t m_index;
  std::size_t m_region;
  RelayEngine m_engine;
  std::map<RelayNumber, InFlight> m_in_flight;
  RelayNumber m_last_number = 0;
  std::map<RelayAttemptNumber, std::size_t> m_leaf_of_attempt;
  std::map<RelayAttemptNumber, RelayDelegation> m_delegations;
  std::optional<TimePoint> m_armed;
};

// The fleet in simulated time.
class Replayed {
 public:
  explicit Replayed(const RelayLoad& load);

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
  std::vector<LeafFault> FaultsOf(std::size_t shard, std::size_t leaf) const;
  LeafFigures& FiguresOf(std::size_t leaf) {
    return m_is_faulty[leaf] ? m_report.faulty_leafs : m_report.sound_leafs;
  }
  void ScheduleArrival(std::size_t load_class);
  double RateFactor() const;
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

ModelDaemon::ModelDaemon(Replayed& replayed,
                         std::size_t index,
                         std::size_t region)
    : m_replayed(replayed),
      m_index(index),
      m_region(region),
      m_engine(
          Locality{DomainName(region), RegionName(region), replayed.Regions()},
          replayed.Load().fleet.allowance) {}

void ModelDaemon::Submit(const CallerRequest& request) {
  const RelayNumber number = ++m_last_number;
  const TimePoint now = m_replayed.Events().Now();
  InFlight& in_flight = m_in_flight[number];
  in_flight.caller = request;
  in_flight.arrived = now;
  in_flight.table = m_replayed.Table();
  in_flight.id = request.id;
  RelayRequest relayed;
  relayed.request_id = std::to_string(request.id);
  relayed.table = in_flight.table;
  relayed.route = &relayed.table->Routes().at(request.load_class);
  relayed.fingerprint = request.id;
  relayed.deadline = request.deadline - kAnswerMargin;
  relayed.answer_by =
      request.arrived + relayed.route->target_latency - kAnswerMargin;
  Apply(m_engine.Submit(number, std::move(relayed), now));
}

void ModelDaemon::SubmitForPeer(const RelayDelegation& delegation,
                                const Route& route,
                                std::uint64_t id,
                                ModelDaemon& from) {
  const RelayNumber number = ++m_last_number;
  const TimePoint now = m_replayed.Events().Now();
  Route part = route;
  part.shards = delegation.shards;
  part.max_attempts = delegation.max_attempts;
  part.min_coverage = 0;
  InFlight& in_flight = m_in_flight[number];
  in_flight.peer = &from;
  in_flight.delegation = delegation.number;
  in_flight.origin = delegation.origin;
  in_flight.shards = delegation.shards;
  in_flight.arrived = now;
  in_flight.id = id;
  in_flight.table = std::make_shared<const RouteTable>(
      0, std::vector{std::move(part)}, std::vector<RoutedService>(),
      CallerLimits());
  const Duration delay = m_replayed.DelayBetween(from.Region(), m_region);
  RelayRequest relayed;
  relayed.table = in_flight.table;
  relayed.route = &relayed.table->Routes().front();
  relayed.fingerprint = id;
  // Both travel as remaining times.
  relayed.deadline = delegation.deadline + delay;
  relayed.answer_by = delegation.answer_by + delay;
  relayed.is_for_peer = true;
  relayed.bypassable = delegation.bypassable;
  Apply(m_engine.Submit(number, std::move(relayed), now));
}

void ModelDaemon::ContinueForPeer(const RelayDelegation& delegation,
                                  ModelDaemon& from) {
  const TimePoint now = m_replayed.Events().Now();
  const Duration delay = m_replayed.DelayBetween(from.Region(), m_region);
  for (auto& [number, request] : m_in_flight) {
    if (request.peer != &from || request.origin != delegation.origin) {
      continue;
    }
    if (m_engine.Continue(number, delegation.deadline + delay, now)) {
      request.delegation = delegation.number;
      request.arrived = now;
      Apply(m_engine.OnTimer(now));
      return;
    }
  }
  DelegationReply reply;
  reply.kind = LeafReplyKind::kSucceeded;
  m_replayed.Events().At(now + delay, [&from, number = delegation.number,
                                       reply = std::move(reply)] {
    from.OnDelegationReply(number, reply);
  });
}

void ModelDaemon::OnDelegationReply(RelayAttemptNumber number,
                                    DelegationReply reply) {
  Apply(m_engine.OnDelegationReply(number, std::move(reply),
                                   m_replayed.Events().Now()));
}

void ModelDaemon::Apply(RelayActions actions) {
  for (const RelayAttemptNumber number : actions.cancellations) {
    Cancel(number);
  }
  for (const RelayAttempt& send : actions.sends) {
    Send(send);
  }
  for (const RelayDelegation& delegation : actions.delegations) {
    Delegate(delegation);
  }
  m_engine.TakeFailedAttempts();
  m_engine.TakeCrashEvents();
  m_engine.TakeCrashes();
  m_engine.TakeSuspects();
  m_engine.TakeContactChanges();
  for (const Endpoint& leaf : actions.probes) {
    const Duration round_trip =
        2 * m_replayed.DelayBetween(m_region,
                                    m_replayed.LeafRegion(leaf.port - 1U));
    m_replayed.Events().At(
        m_replayed.Events().Now() + round_trip, [this, leaf] {
          Apply(m_engine.OnReachable(leaf, true, m_replayed.Events().Now()));
        });
  }
  for (RelayFinish& finish : actions.finishes) {
    Finish(std::move(finish));
  }
  ArmTimer();
}

void ModelDaemon::Send(const RelayAttempt& attempt) {
  const auto found = m_in_flight.find(attempt.request);
  if (found == m_in_flight.end()) {
    return;
  }
  const std::size_t leaf = attempt.address.port - 1U;
  const Duration delay =
      m_replayed.DelayBetween(m_region, m_replayed.LeafRegion(leaf));
  const std::string& route = found->second.table->Routes().front().name;
  const std::size_t load_class = found->second.caller
                                     ? found->second.caller->load_class
                                     : m_replayed.ClassOf(route);
  LeafWork work;
  work.key = KeyOf(attempt.number);
  work.work = m_replayed.SampleWork(load_class);
  work.deadline = attempt.deadline;
  work.done = [this, number = attempt.number, leaf, delay](
                  LeafReplyKind kind, const ReportedLoad& load) {
    if (kind == LeafReplyKind::kRefused) {
      m_replayed.CountRefusal(leaf);
    }
    LeafReply reply;
    reply.kind = kind;
    reply.load = load;
    reply.announcement.emplace();
    reply.round_trip = 2 * delay;
    m_replayed.Events().At(
        m_replayed.Events().Now() + delay, [this, number, reply] {
          Apply(m_engine.OnReply(number, reply, m_replayed.Events().Now()));
        });
  };
  const std::uint64_t id = found->second.id;
  m_leaf_of_attempt[attempt.number] = leaf;
  m_replayed.Events().At(m_replayed.Events().Now() + delay,
                         [this, leaf, id, work = std::move(work)] {
                           m_replayed.CountArrival(leaf, id);
                           m_replayed.Leaf(leaf).Arrive(work);
                         });
}

// Unique among all daemons' attempts.
std::uint64_t ModelDaemon::KeyOf(RelayAttemptNumber number) const {
  constexpr std::uint64_t kMaxDaemons = 1000;
  return number * kMaxDaemons + m_index;
}

void ModelDaemon::Cancel(RelayAttemptNumber number) {
  EventQueue& events = m_replayed.Events();
  const auto sent = m_leaf_of_attempt.find(number);
  if (sent != m_leaf_of_attempt.end()) {
    const std::size_t leaf = sent->second;
    const Duration delay =
        m_replayed.DelayBetween(m_region, m_replayed.LeafRegion(leaf));
    events.At(events.Now() + delay, [this, leaf, key = KeyOf(number)] {
      m_replayed.Leaf(leaf).Cancel(key);
    });
    m_leaf_of_attempt.erase(sent);
    return;
  }
  const auto delegated = m_delegations.find(number);
  if (delegated == m_delegations.end()) {
    return;
  }
  ModelDaemon& peer = m_replayed.DaemonAt(delegated->second.peer);
  const Duration delay = m_replayed.DelayBetween(m_region, peer.Region());
  events.At(events.Now() + delay,
            [this, &peer, origin = delegated->second.origin] {
              peer.CancelForPeer(origin, *this);
            });
  m_delegations.erase(delegated);
}

void ModelDaemon::CancelForPeer(RelayAttemptNumber origin,
                                const ModelDaemon& from) {
  for (auto& [number, request] : m_in_flight) {
    if (request.peer == &from && request.origin == origin) {
      const RelayNumber cancelled = number;
      m_in_flight.erase(cancelled);
      Apply(
          m_engine.OnCallerDisconnected(cancelled, m_replayed.Events().Now()));
      return;
    }
  }
}

void ModelDaemon::Delegate(const RelayDelegation& delegation) {
  const auto found = m_in_flight.find(delegation.request);
  if (found == m_in_flight.end()) {
    return;
  }
  m_delegations[delegation.number] = delegation;
  ModelDaemon& peer = m_replayed.DaemonAt(delegation.peer);
  EventQueue& events = m_replayed.Events();
  const Duration delay = m_replayed.DelayBetween(m_region, peer.Region());
  const Route route =
      found->second.table->Routes().at(found->second.caller->load_class);
  events.At(events.Now() + delay,
            [this, &peer, delegation, route, id = found->second.id] {
              if (delegation.is_continuation) {
                peer.ContinueForPeer(delegation, *this);
              } else {
                peer.SubmitForPeer(delegation, route, id, *this);
              }
            });
}

void ModelDaemon::Finish(RelayFinish finish) {
  const auto found = m_in_flight.find(finish.request);
  if (found == m_in_flight.end()) {
    return;
  }
  if (found->second.peer != nullptr) {
    AnswerPeer(found->second, finish.outcome);
    if (!finish.outcome.is_continued) {
      m_in_flight.erase(found);
    }
    return;
  }
  const CallerRequest request = *found->second.caller;
  m_in_flight.erase(found);
  m_replayed.OnEnd(request, finish.outcome);
}

void ModelDaemon::AnswerPeer(InFlight& request, const RelayOutcome& outcome) {
  if (request.delegation == 0) {
    return;
  }
  const TimePoint now = m_replayed.Events().Now();
  DelegationReply reply;
  reply.kind = LeafReplyKind::kSucceeded;
  reply.covered = outcome.covered;
  reply.uncovered = outcome.uncovered;
  reply.processing_time = now - request.arrived;
  reply.stalls = m_engine.RecentStalls(request.shards, now);
  ModelDaemon& peer = *request.peer;
  const Duration delay = m_replayed.DelayBetween(m_region, peer.Region());
  m_replayed.Events().At(
      now + delay,
      [&peer, number = std::exchange(request.delegation, 0),
       reply = std::move(reply)] { peer.OnDelegationReply(number, reply); });
}

void ModelDaemon::ArmTimer() {
  const auto next = m_engine.NextTimer();
  if (!next || (m_armed && *m_armed <= *next)) {
    return;
  }
  m_armed = next;
  m_replayed.Events().At(*next, [this, due = *next] {
    if (m_armed == due) {
      m_armed.reset();
      Apply(m_engine.OnTimer(m_replayed.Events().Now()));
    }
  });
}

Replayed::Replayed(const RelayLoad& load)
    : m_load(load), m_begin(m_events.Now()), m_random(load.seed) {
  m_report.by_class.resize(load.classes.size());
  m_report.by_second.resize(static_cast<std::size_t>(
      std::chrono::ceil<std::chrono::seconds>(load.length).count()));
  MakeTable();
  MakeLeafs();
  MakeDaemons();
}

std::map<std::string, std::string, std::less<>> Replayed::Regions() const {
  std::map<std::string, std::string, std::less<>> regions;
  for (std::size_t region = 0; region < m_load.fleet.daemons.size(); ++region) {
    regions[DomainName(region)] = RegionName(region);
  }
  return regions;
}

void Replayed::MakeTable() {
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

std::vector<LeafFault> Replayed::FaultsOf(std::size_t shard,
                                          std::size_t leaf) const {
  std::vector<LeafFault> faults;
  for (const LoadFault& fault : m_load.faults) {
    const std::size_t hit = fault.leaf.value_or(shard % LeafsPerShard());
    if (shard < fault.shards && leaf == hit) {
      faults.push_back(fault.fault);
    }
  }
  return faults;
}

void Replayed::MakeLeafs() {
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
      std::vector<LeafFault> faults = FaultsOf(shard, leaf);
      m_is_faulty.push_back(!faults.empty());
      m_leafs.push_back(std::make_unique<ModelLeaf>(
          m_events, m_load.fleet.leafs, std::move(faults), m_random()));
    }
  }
}

void Replayed::MakeDaemons() {
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

std::size_t Replayed::ClassOf(const std::string& route) const {
  const auto found = std::find_if(
      m_load.classes.begin(), m_load.classes.end(),
      [&](const LoadClass& load_class) { return load_class.name == route; });
  return static_cast<std::size_t>(found - m_load.classes.begin());
}

Duration Replayed::SampleWork(std::size_t load_class) {
  const WorkTime& work = m_load.classes[load_class].work;
  // The mean of a lognormal distribution is above its median.
  std::lognormal_distribution<double> factor(-work.spread * work.spread / 2,
                                             work.spread);
  const bool is_tail = std::bernoulli_distribution(work.tail_share)(m_random);
  return std::chrono::duration_cast<Duration>(
      work.mean * (factor(m_random) * (is_tail ? work.tail_factor : 1)));
}

void Replayed::CountArrival(std::size_t leaf, std::uint64_t id) {
  LeafFigures& figures = FiguresOf(leaf);
  ++figures.arrivals;
  figures.repeats += m_arrivals[{id, leaf / LeafsPerShard()}]++ > 0 ? 1 : 0;
}

double Replayed::RateFactor() const {
  const Duration time = m_events.Now() - m_begin;
  for (const LoadBurst& burst : m_load.bursts) {
    if (time >= burst.from && time < burst.until) {
      return burst.factor;
    }
  }
  return 1;
}

void Replayed::ScheduleArrival(std::size_t load_class) {
  const double per_second =
      m_load.classes[load_class].per_second * RateFactor();
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

void Replayed::Arrive(CallerRequest request) {
  request.id = ++m_last_id;
  ++request.sends;
  std::uniform_int_distribution<std::size_t> choice(0, m_daemons.size() - 1);
  ModelDaemon& daemon = *m_daemons[choice(m_random)];
  m_events.At(m_events.Now() + kCallerDelay,
              [&daemon, request] { daemon.Submit(request); });
}

void Replayed::OnEnd(const CallerRequest& request,
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

void Replayed::SendAgain(CallerRequest request, Duration delay) {
  m_events.At(m_events.Now() + 2 * kCallerDelay + delay,
              [this, request] { Arrive(request); });
}

void Replayed::Record(const CallerRequest& request, LoadFigures figures) {
  const auto second = static_cast<std::size_t>(
      std::chrono::floor<std::chrono::seconds>(request.arrived - m_begin)
          .count());
  m_report.by_class[request.load_class].Add(figures);
  m_report.by_second.at(second).Add(figures);
}

RelayLoadReport Replayed::Run() {
  for (std::size_t index = 0; index < m_load.classes.size(); ++index) {
    ScheduleArrival(index);
  }
  constexpr std::chrono::seconds kDrainTime{10};
  m_events.RunUntil(m_begin + m_load.length + kDrainTime);
  return m_report;
}

}  // namespace

double LoadFigures::MeanCredit() const {
  return asked == 0 ? 0 : credit / static_cast<double>(asked);
}

void LoadFigures::Add(const LoadFigures& other) {
  asked += other.asked;
  in_time += other.in_time;
  complete += other.complete;
  late += other.late;
  refused += other.refused;
  failed += other.failed;
  credit += other.credit;
  longest_wait_in_vain =
      std::max(longest_wait_in_vain, other.longest_wait_in_vain);
}

LoadFigures RelayLoadReport::Between(Duration from, Duration until) const {
  LoadFigures sum;
  for (std::size_t second = 0; second < by_second.size(); ++second) {
    const Duration at = std::chrono::seconds(second);
    if (at >= from && at < until) {
      sum.Add(by_second[second]);
    }
  }
  return sum;
}

RelayLoadReport Replay(const RelayLoad& load) {
  return Replayed(load).Run();
}

}  // namespace bramleyspoke::Harness
