#include "retry_fleet.h"

#include <algorithm>
#include <limits>

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(1);
constexpr Duration kPeerLatency = milliseconds(8);
constexpr int kMinLeafLatencyMs = 5;
constexpr int kMaxLeafLatencyMs = 40;
constexpr Duration kTimeout = milliseconds(1500);
constexpr Duration kTargetLatency = milliseconds(200);
constexpr std::uint32_t kSlots = 8;
constexpr const char* kOnceService = "once";

std::string RegionOf(std::size_t daemon) {
  return "r" + std::to_string(daemon);
}

std::string DomainOf(std::size_t daemon) {
  return "d" + std::to_string(daemon);
}

Endpoint PeerAddress(std::size_t daemon) {
  return {"127.0.0.2", static_cast<std::uint16_t>(daemon + 1)};
}

Locality LocalityOf(std::size_t daemon) {
  return {DomainOf(daemon),
          RegionOf(daemon),
          {{"d0", "r0"}, {"d1", "r1"}, {"d2", "r2"}}};
}

std::vector<Route> Routes(const RetryFleetOptions& options) {
  Route fan_out;
  fan_out.name = "fan-out";
  fan_out.kind = RequestKind::kIdempotent;
  fan_out.max_attempts = options.max_attempts;
  fan_out.timeout = kTimeout;
  fan_out.target_latency = kTargetLatency;
  fan_out.min_coverage = 0.75;
  fan_out.result_limit = 10;
  Route single = fan_out;
  single.name = "single";
  single.services = {{"one", 1}};
  for (std::size_t shard = 0; shard < RetryFleet::kShards; ++shard) {
    fan_out.shards.push_back("s" + std::to_string(shard));
  }
  std::vector<Route> routes{fan_out, single};
  if (options.has_non_idempotent) {
    Route once = single;
    once.name = "once";
    once.kind = RequestKind::kNonIdempotent;
    once.services = {{kOnceService, 1}};
    routes.push_back(once);
  }
  return routes;
}

std::vector<std::string> NamesOf(const Route& route) {
  return route.IsFanOut()
             ? route.shards
             : std::vector<std::string>{route.services.front().service};
}

std::size_t CountIn(const std::vector<TimePoint>& times,
                    TimePoint from,
                    TimePoint to) {
  const auto first = std::lower_bound(times.begin(), times.end(), from);
  return static_cast<std::size_t>(std::lower_bound(first, times.end(), to) -
                                  first);
}

}  // namespace

// NOLINTBEGIN(readability-identifier-naming): rapidcheck looks them up.
void showValue(const RetryPhase& phase, std::ostream& out) {
  out << phase.length / milliseconds(1) << " ms, " << phase.per_second
      << " requests/s; of 100 attempts " << phase.rejected << " rejected, "
      << phase.failed << " failed, " << phase.lost << " lost, " << phase.unsent
      << " unsent, " << phase.unanswered << " unanswered; of 100 answers "
      << phase.lost_answers << " lost";
  if (phase.cut_off) {
    out << "; daemon " << *phase.cut_off << " cut off";
  }
  if (phase.restarted) {
    out << "; daemon " << *phase.restarted << " restarted";
  }
  if (phase.adds_leafs) {
    out << "; leafs added";
  }
}

void showValue(const RetryFleetOptions& options, std::ostream& out) {
  out << options.leafs_per_service << " leafs a service, "
      << options.max_attempts << " attempts allowed";
}
// NOLINTEND(readability-identifier-naming)

RetryFleet::RetryFleet(const RetryAllowance& allowance,
                       std::uint32_t seed,
                       const RetryFleetOptions& options)
    : m_allowance(allowance), m_options(options), m_random(seed) {
  const std::vector<Route> routes = Routes(options);
  std::vector<RoutedService> services;
  for (const Route& route : routes) {
    for (const std::string& service : NamesOf(route)) {
      services.push_back({service, "/health", 100});
      for (std::size_t leaf = 0; leaf < options.leafs_per_service; ++leaf) {
        AddLeaf(service);
      }
    }
  }
  m_table =
      std::make_shared<const RouteTable>(1, routes, services, CallerLimits());
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    Start(daemon);
  }
  m_now += RelayEngine::kLeafSetSettleTime;
}

// The leafs of a service are in the first two regions in turn.
void RetryFleet::AddLeaf(const std::string& service) {
  const std::size_t place = m_leafs_of[service]++;
  LeafRegistration leaf;
  leaf.id = service + "-" + std::to_string(place);
  leaf.service = service;
  leaf.address = {"127.0.0.1", static_cast<std::uint16_t>(m_leafs.size() + 1)};
  leaf.failure_domain = DomainOf(place % 2);
  leaf.slots = kSlots;
  m_leafs.push_back(leaf);
  m_service_of[leaf.id] = service;
}

void RetryFleet::AddLeafs() {
  for (const auto& [service, count] : m_leafs_of) {
    AddLeaf(service);
  }
  const int max_delay = static_cast<int>(kMaxDiscoveryDelay / kTick);
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    After(kTick * Draw(max_delay), daemon, [this, daemon, leafs = m_leafs] {
      Apply(daemon, m_daemons.at(daemon).engine->SetLeafs(leafs, m_now));
    });
  }
}

void RetryFleet::Start(std::size_t daemon) {
  Daemon& started = m_daemons.at(daemon);
  started.engine =
      std::make_unique<RelayEngine>(LocalityOf(daemon), m_allowance);
  ++started.run;
  started.by_origin.clear();
  std::vector<RelayPeer> peers;
  std::map<std::string, std::size_t> by_region;
  for (std::size_t other = 0; other < kDaemons; ++other) {
    by_region[RegionOf(other)] = 1;
    if (other != daemon) {
      peers.push_back({PeerAddress(other), RegionOf(other), DomainOf(other)});
    }
  }
  started.engine->SetDaemons(by_region);
  started.engine->SetPeers(peers);
  Apply(daemon, started.engine->SetTable(m_table, m_now));
  Apply(daemon, started.engine->SetLeafs(m_leafs, m_now));
  // Peers lose what they have delegated to it.
  const std::map<RelayNumber, Held> lost = std::exchange(started.held, {});
  for (const auto& [number, held] : lost) {
    if (held.delegator) {
      DelegationReply reply;
      reply.kind = LeafReplyKind::kLost;
      ReplyToDelegation(*held.delegator, held.delegation, std::move(reply));
    }
  }
}

void RetryFleet::Run(const RetryPhase& phase) {
  m_phase = phase;
  if (phase.restarted) {
    Start(*phase.restarted);
  }
  if (phase.adds_leafs) {
    AddLeafs();
  }
  const TimePoint end = m_now + phase.length;
  while (m_now < end) {
    Tick(phase);
  }
}

void RetryFleet::Tick(const RetryPhase& phase) {
  m_now += kTick;
  while (!m_events.empty() && m_events.begin()->first <= m_now) {
    const auto action = std::move(m_events.begin()->second);
    m_events.erase(m_events.begin());
    action();
  }
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    RelayEngine& engine = *m_daemons.at(daemon).engine;
    if (engine.NextTimer() && *engine.NextTimer() <= m_now) {
      Apply(daemon, engine.OnTimer(m_now));
    }
    if (Draw(1000) < phase.per_second) {
      SubmitFromCaller(daemon);
    }
  }
}

const Route& RetryFleet::DrawRoute() {
  const std::vector<Route>& routes = m_table->Routes();
  if (routes.size() > 2 && Draw(4) == 0) {
    return routes.at(2);
  }
  return routes.at(Draw(4) == 0 ? 1 : 0);
}

void RetryFleet::SubmitFromCaller(std::size_t daemon) {
  const Route& route = DrawRoute();
  RelayRequest request;
  request.request_id = "id";
  request.table = m_table;
  request.route = &route;
  request.deadline = m_now + kTimeout;
  request.answer_by = m_now + kTargetLatency;
  Held held;
  held.request = m_last_number + 1;
  request.fingerprint = held.request;
  for (const std::string& service : NamesOf(route)) {
    m_services[service].requests.push_back(m_now);
  }
  Submit(daemon, held, std::move(request));
}

void RetryFleet::Submit(std::size_t daemon, Held held, RelayRequest request) {
  const RelayNumber number = ++m_last_number;
  held.since = m_now;
  Daemon& receiver = m_daemons.at(daemon);
  receiver.held[number] = held;
  if (held.delegator) {
    receiver.by_origin[{*held.delegator, held.delegation}] = number;
  }
  Apply(daemon, receiver.engine->Submit(number, std::move(request), m_now));
}

void RetryFleet::Apply(std::size_t daemon, const RelayActions& actions) {
  for (const RelayAttempt& attempt : actions.sends) {
    Send(daemon, attempt);
  }
  for (const RelayDelegation& delegation : actions.delegations) {
    Delegate(daemon, delegation);
  }
  for (const RelayFinish& finish : actions.finishes) {
    AnswerPeer(daemon, finish);
  }
  for (const Endpoint& leaf : actions.probes) {
    After(kTick, daemon, [this, daemon, leaf] {
      Apply(daemon, m_daemons.at(daemon).engine->OnReachable(
                        leaf, m_phase.cut_off != daemon, m_now));
    });
  }
}

void RetryFleet::Send(std::size_t daemon, const RelayAttempt& attempt) {
  const LeafReplyKind kind = DrawReply(daemon);
  if (kind != LeafReplyKind::kNotSent) {
    const ClientRequest request =
        m_daemons.at(daemon).held.at(attempt.request).request;
    Service& service = m_services[m_service_of.at(attempt.leaf_id)];
    ++m_arrivals;
    if (!service.arrived.insert(request).second) {
      service.extra.push_back(m_now);
    }
    if (VerdictOf(kind) != Verdict::kNotRun) {
      service.ran_on[request].insert(attempt.leaf_id);
      ++service.runs[request];
    }
  }
  After(DrawLatency(kind, attempt), daemon,
        [this, daemon, kind, number = attempt.number] {
          LeafReply reply;
          reply.kind = kind;
          reply.round_trip = kTick;
          Apply(daemon, m_daemons.at(daemon).engine->OnReply(
                            number, std::move(reply), m_now));
        });
}

Duration RetryFleet::DrawLatency(LeafReplyKind kind,
                                 const RelayAttempt& attempt) {
  switch (kind) {
    case LeafReplyKind::kSucceeded:
    case LeafReplyKind::kLost:
      return milliseconds(kMinLeafLatencyMs + Draw(kMaxLeafLatencyMs));
    case LeafReplyKind::kTimedOut:
      return std::max<Duration>(attempt.leaf_deadline - m_now, kTick);
    default:
      return kTick;
  }
}

LeafReplyKind RetryFleet::DrawReply(std::size_t daemon) {
  if (m_phase.cut_off == daemon) {
    return LeafReplyKind::kNotSent;
  }
  int drawn = Draw(100);
  const std::array<std::pair<int, LeafReplyKind>, 5> shares{{
      {m_phase.rejected, LeafReplyKind::kRefused},
      {m_phase.failed, LeafReplyKind::kFailed},
      {m_phase.lost, LeafReplyKind::kLost},
      {m_phase.unsent, LeafReplyKind::kNotSent},
      {m_phase.unanswered, LeafReplyKind::kTimedOut},
  }};
  for (const auto& [share, kind] : shares) {
    if (drawn < share) {
      return kind;
    }
    drawn -= share;
  }
  return LeafReplyKind::kSucceeded;
}

void RetryFleet::Delegate(std::size_t daemon,
                          const RelayDelegation& delegation) {
  ++m_delegations;
  const auto peer = static_cast<std::size_t>(delegation.peer.port) - 1;
  const ClientRequest request =
      m_daemons.at(daemon).held.at(delegation.request).request;
  if (!delegation.is_continuation && Draw(100) < m_phase.unsent) {
    ReplyToDelegation(daemon, delegation.number, {});
    return;
  }
  After(kPeerLatency, peer, [this, daemon, peer, request, delegation] {
    Deliver(daemon, peer, request, delegation);
  });
}

void RetryFleet::Deliver(std::size_t from,
                         std::size_t peer,
                         ClientRequest request,
                         const RelayDelegation& delegation) {
  Daemon& receiver = m_daemons.at(peer);
  if (delegation.is_continuation) {
    const auto found = receiver.by_origin.find({from, delegation.origin});
    if (found == receiver.by_origin.end() ||
        !receiver.engine->Continue(found->second, delegation.deadline, m_now)) {
      DelegationReply reply;
      reply.kind = LeafReplyKind::kLost;
      ReplyToDelegation(from, delegation.number, std::move(reply));
      return;
    }
    receiver.held[found->second].delegation = delegation.number;
    Apply(peer, receiver.engine->OnTimer(m_now));
    return;
  }
  const std::string& name = delegation.shards.front();
  Route route = m_table->Routes().at(0);
  if (name == "one") {
    route = m_table->Routes().at(1);
  } else if (name == kOnceService) {
    route = m_table->Routes().at(2);
  } else {
    route.shards = delegation.shards;
  }
  route.max_attempts = delegation.max_attempts;
  const auto table = std::make_shared<const RouteTable>(
      0, std::vector{route}, std::vector<RoutedService>(), CallerLimits());
  RelayRequest asked;
  asked.request_id = "id";
  asked.table = table;
  asked.route = &table->Routes().front();
  asked.fingerprint = request;
  asked.deadline = delegation.deadline;
  asked.answer_by = delegation.answer_by;
  asked.is_for_peer = true;
  asked.bypassable = delegation.bypassable;
  asked.credited = delegation.credited;
  Submit(peer, {request, from, delegation.number, m_now}, std::move(asked));
}

void RetryFleet::AnswerPeer(std::size_t daemon, const RelayFinish& finish) {
  // A finished request stays in `held`, as its attempts may go on.
  const Held held = m_daemons.at(daemon).held.at(finish.request);
  if (!held.delegator) {
    return;
  }
  DelegationReply reply;
  if (Draw(100) < m_phase.lost_answers) {
    reply.kind = LeafReplyKind::kLost;
    ReplyToDelegation(*held.delegator, held.delegation, std::move(reply));
    return;
  }
  reply.kind = LeafReplyKind::kSucceeded;
  reply.covered = finish.outcome.covered;
  reply.uncovered = finish.outcome.uncovered;
  reply.is_cut_off =
      m_daemons.at(daemon).engine->Contact() == ContactState::kCutOff;
  reply.processing_time = m_now - held.since;
  ReplyToDelegation(*held.delegator, held.delegation, std::move(reply));
}

void RetryFleet::ReplyToDelegation(std::size_t daemon,
                                   RelayAttemptNumber number,
                                   DelegationReply reply) {
  After(kPeerLatency, daemon, [this, daemon, number, reply] {
    Apply(daemon,
          m_daemons.at(daemon).engine->OnDelegationReply(number, reply, m_now));
  });
}

int RetryFleet::Draw(int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(m_random);
}

void RetryFleet::After(Duration delay,
                       std::size_t daemon,
                       std::function<void()> action) {
  m_events.emplace(m_now + delay, [this, daemon, run = m_daemons.at(daemon).run,
                                   action = std::move(action)] {
    if (m_daemons.at(daemon).run == run) {
      action();
    }
  });
}

std::size_t RetryFleet::RequestsOnTooManyLeafs() const {
  std::size_t requests = 0;
  for (const auto& [name, service] : m_services) {
    for (const auto& [request, leafs] : service.ran_on) {
      requests += leafs.size() > m_options.max_attempts ? 1 : 0;
    }
  }
  return requests;
}

std::size_t RetryFleet::RequestsRunTwice() const {
  const auto found = m_services.find(kOnceService);
  if (found == m_services.end()) {
    return 0;
  }
  const auto& runs = found->second.runs;
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(),
                    [](const auto& entry) { return entry.second > 1; }));
}

std::size_t RetryFleet::MostLeafs() const {
  std::size_t most = 0;
  for (const auto& [name, service] : m_services) {
    for (const auto& [request, leafs] : service.ran_on) {
      most = std::max(most, leafs.size());
    }
  }
  return most;
}

std::size_t RetryFleet::Extra() const {
  std::size_t extra = 0;
  for (const auto& [name, service] : m_services) {
    extra += service.extra.size();
  }
  return extra;
}

// The requests are those of the window, of the one before it, or of the one
// that begins half a window earlier, whichever are most.
RetryExcess RetryFleet::MostExcess() const {
  RetryExcess most;
  most.above = -std::numeric_limits<double>::infinity();
  for (const auto& [name, service] : m_services) {
    for (const TimePoint from : service.extra) {
      std::size_t requests = 0;
      for (const Duration earlier : {Duration::zero(), kWindow / 2, kWindow}) {
        requests = std::max(requests, CountIn(service.requests, from - earlier,
                                              from - earlier + kWindow));
      }
      const std::size_t extra = CountIn(service.extra, from, from + kWindow);
      const double above = static_cast<double>(extra) - m_allowance.slack -
                           m_allowance.ratio * static_cast<double>(requests);
      if (above > most.above) {
        most = {name, extra, requests, above};
      }
    }
  }
  return most;
}

}  // namespace bramleyspoke
