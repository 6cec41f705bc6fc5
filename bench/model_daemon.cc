#include "model_daemon.h"

#include <utility>

#include "replayed_fleet.h"

namespace bramleyspoke::Harness {
namespace {

// Part of the target latency that a daemon leaves for the way to the caller.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(7);

}  // namespace

ModelDaemon::ModelDaemon(ReplayedFleet& fleet,
                         std::size_t index,
                         std::size_t region)
    : m_fleet(fleet),
      m_index(index),
      m_region(region),
      m_engine(
          Locality{DomainName(region), RegionName(region), fleet.Regions()},
          fleet.Load().fleet.allowance) {}

void ModelDaemon::Submit(const CallerRequest& request) {
  const RelayNumber number = ++m_last_number;
  const TimePoint now = m_fleet.Events().Now();
  InFlight& in_flight = m_in_flight[number];
  in_flight.caller = request;
  in_flight.arrived = now;
  in_flight.table = m_fleet.Table();
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
  const TimePoint now = m_fleet.Events().Now();
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
  const Duration delay = m_fleet.DelayBetween(from.Region(), m_region);
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
  const TimePoint now = m_fleet.Events().Now();
  const Duration delay = m_fleet.DelayBetween(from.Region(), m_region);
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
  m_fleet.Events().At(now + delay, [&from, number = delegation.number,
                                    reply = std::move(reply)] {
    from.OnDelegationReply(number, reply);
  });
}

void ModelDaemon::OnDelegationReply(RelayAttemptNumber number,
                                    DelegationReply reply) {
  Apply(m_engine.OnDelegationReply(number, std::move(reply),
                                   m_fleet.Events().Now()));
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
        2 * m_fleet.DelayBetween(m_region, m_fleet.LeafRegion(leaf.port - 1U));
    m_fleet.Events().At(m_fleet.Events().Now() + round_trip, [this, leaf] {
      Apply(m_engine.OnReachable(leaf, true, m_fleet.Events().Now()));
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
      m_fleet.DelayBetween(m_region, m_fleet.LeafRegion(leaf));
  const std::string& route = found->second.table->Routes().front().name;
  const std::size_t load_class = found->second.caller
                                     ? found->second.caller->load_class
                                     : m_fleet.ClassOf(route);
  LeafWork work;
  work.key = KeyOf(attempt.number);
  work.work = m_fleet.SampleWork(load_class);
  work.deadline = attempt.leaf_deadline;
  work.done = [this, number = attempt.number, leaf, delay](
                  LeafReplyKind kind, const ReportedLoad& load) {
    if (kind == LeafReplyKind::kRefused) {
      m_fleet.CountRefusal(leaf);
    }
    LeafReply reply;
    reply.kind = kind;
    reply.load = load;
    reply.announcement.emplace();
    reply.round_trip = 2 * delay;
    m_fleet.Events().At(m_fleet.Events().Now() + delay, [this, number, reply] {
      Apply(m_engine.OnReply(number, reply, m_fleet.Events().Now()));
    });
  };
  const std::uint64_t id = found->second.id;
  m_leaf_of_attempt[attempt.number] = leaf;
  m_fleet.Events().At(m_fleet.Events().Now() + delay,
                      [this, leaf, id, work = std::move(work)] {
                        m_fleet.CountArrival(leaf, id);
                        m_fleet.Leaf(leaf).Arrive(work);
                      });
}

// Unique among all daemons' attempts.
std::uint64_t ModelDaemon::KeyOf(RelayAttemptNumber number) const {
  constexpr std::uint64_t kMaxDaemons = 1000;
  return number * kMaxDaemons + m_index;
}

void ModelDaemon::Cancel(RelayAttemptNumber number) {
  EventQueue& events = m_fleet.Events();
  const auto sent = m_leaf_of_attempt.find(number);
  if (sent != m_leaf_of_attempt.end()) {
    const std::size_t leaf = sent->second;
    const Duration delay =
        m_fleet.DelayBetween(m_region, m_fleet.LeafRegion(leaf));
    events.At(events.Now() + delay, [this, leaf, key = KeyOf(number)] {
      m_fleet.Leaf(leaf).Cancel(key);
    });
    m_leaf_of_attempt.erase(sent);
    return;
  }
  const auto delegated = m_delegations.find(number);
  if (delegated == m_delegations.end()) {
    return;
  }
  ModelDaemon& peer = m_fleet.DaemonAt(delegated->second.peer);
  const Duration delay = m_fleet.DelayBetween(m_region, peer.Region());
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
      Apply(m_engine.OnCallerDisconnected(cancelled, m_fleet.Events().Now()));
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
  ModelDaemon& peer = m_fleet.DaemonAt(delegation.peer);
  EventQueue& events = m_fleet.Events();
  const Duration delay = m_fleet.DelayBetween(m_region, peer.Region());
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
  m_fleet.OnEnd(request, finish.outcome);
}

void ModelDaemon::AnswerPeer(InFlight& request, const RelayOutcome& outcome) {
  if (request.delegation == 0) {
    return;
  }
  const TimePoint now = m_fleet.Events().Now();
  DelegationReply reply;
  reply.kind = LeafReplyKind::kSucceeded;
  reply.covered = outcome.covered;
  reply.uncovered = outcome.uncovered;
  reply.processing_time = now - request.arrived;
  reply.stalls = m_engine.RecentStalls(request.shards, now);
  ModelDaemon& peer = *request.peer;
  const Duration delay = m_fleet.DelayBetween(m_region, peer.Region());
  m_fleet.Events().At(
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
  m_fleet.Events().At(*next, [this, due = *next] {
    if (m_armed == due) {
      m_armed.reset();
      Apply(m_engine.OnTimer(m_fleet.Events().Now()));
    }
  });
}

}  // namespace bramleyspoke::Harness
