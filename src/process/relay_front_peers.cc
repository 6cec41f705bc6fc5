#include <algorithm>
#include <utility>

#include "connection/event_loop.h"
#include "process/relay_front.h"
#include "request/request_fingerprint.h"

// The part of `RelayFront` that delegates shards to peers and serves theirs.

namespace bramleyspoke {
namespace {

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

// The route's values are taken from the query, because this daemon may have
// another version of the route table than the peer.
std::function<void()> RelayFront::ServePeer(
    ShardQuery query,
    std::function<void(ShardAnswer)> reply) {
  if (query.is_continuation) {
    return ContinueForPeer(query, std::move(reply));
  }
  const TimePoint now = Now();
  const RelayNumber number = ++m_last_number;
  Route route;
  route.name = query.route;
  if (query.service.empty()) {
    route.shards = std::move(query.shards);
  } else {
    route.services = {{std::move(query.service), 1}};
    route.kind = query.is_idempotent ? RequestKind::kIdempotent
                                     : RequestKind::kNonIdempotent;
  }
  route.max_attempts = query.max_attempts;
  route.result_limit = query.result_limit;
  route.priority = query.priority;
  route.timeout = query.deadline - query.arrived;
  route.target_latency = query.answer_by - query.arrived;
  auto table = std::make_shared<const RouteTable>(
      0, std::vector{std::move(route)}, std::vector<RoutedService>(),
      CallerLimits());
  RelayRequest request;
  request.request_id = query.request_id;
  request.fingerprint = FingerprintOf(query.request);
  request.resource = ResourceFingerprintOf(query.request);
  request.table = table;
  request.route = &table->Routes().front();
  request.deadline = query.deadline;
  request.answer_by = query.answer_by;
  request.is_for_peer = true;
  request.bypassable = std::move(query.bypassable);
  request.credited = std::move(query.credited);
  m_in_flight.emplace(
      number, RequestInFlight{
                  nullptr, std::move(query.request), query.delegation,
                  std::move(reply), std::move(query.request_id), table,
                  request.route, query.arrived, now - query.arrived,
                  request.answer_by, request.fingerprint, request.resource});
  Apply(m_engine.Submit(number, std::move(request), now));
  return MakeCancellation(number);
}

// A request that was already answered is not cancelled: some of its shards may
// be pending, and the peer may ask for them in a continuation.
std::function<void()> RelayFront::MakeCancellation(RelayNumber number) {
  return [this, weak = std::weak_ptr(m_self), number] {
    if (!weak.lock()) {
      return;
    }
    const auto found = m_in_flight.find(number);
    if (found != m_in_flight.end() && found->second.peer_reply) {
      m_pending_for_peers.erase(found->second.DelegationKey());
      m_in_flight.erase(found);
      Apply(m_engine.OnCallerDisconnected(number, Now()));
    }
  };
}

// The empty answer to a continuation that arrives too late means that no shard
// is pending.
std::function<void()> RelayFront::ContinueForPeer(
    const ShardQuery& query,
    std::function<void(ShardAnswer)> reply) {
  const TimePoint now = Now();
  const auto pending =
      m_pending_for_peers.find({query.request_id, query.delegation});
  if (pending == m_pending_for_peers.end() ||
      !m_engine.Continue(pending->second, query.deadline, now)) {
    reply(ShardAnswer());
    return [] {};
  }
  const RelayNumber number = pending->second;
  m_pending_for_peers.erase(pending);
  RequestInFlight& request = m_in_flight.at(number);
  request.peer_reply = std::move(reply);
  request.arrived = query.arrived;
  request.waited = now - query.arrived;
  Apply(m_engine.OnTimer(now));
  return MakeCancellation(number);
}

void RelayFront::Delegate(const RelayDelegation& delegation) {
  const auto found = m_in_flight.find(delegation.request);
  if (found == m_in_flight.end()) {
    return;
  }
  const RequestInFlight& request = found->second;
  ShardQuery query;
  query.request_id = request.request_id;
  query.is_continuation = delegation.is_continuation;
  query.delegation = delegation.origin;
  if (!delegation.is_continuation) {
    query.request = request.Request();
    query.route = request.route->name;
  }
  if (request.route->IsFanOut()) {
    query.shards = delegation.shards;
  } else {
    query.service = delegation.shards.front();
    query.is_idempotent = request.route->kind == RequestKind::kIdempotent;
  }
  query.bypassable = delegation.bypassable;
  query.credited = delegation.credited;
  query.max_attempts = delegation.max_attempts;
  query.result_limit = request.route->result_limit;
  query.priority = request.route->priority;
  query.deadline = delegation.deadline;
  query.answer_by = delegation.answer_by;
  m_peer_calls[delegation.number] = m_peers.QueryShards(
      delegation.peer, query,
      [this, weak = std::weak_ptr(m_self), &loop = m_loop,
       number = delegation.number, peer = delegation.peer,
       shards = delegation.shard_count](ShardOutcome outcome) {
        loop.Post([this, weak, number, peer, shards,
                   outcome = std::move(outcome)]() mutable {
          if (weak.lock()) {
            OnPeerOutcome(number, peer, shards, std::move(outcome));
          }
        });
      });
}

void RelayFront::OnPeerOutcome(RelayAttemptNumber number,
                               const Endpoint& peer,
                               std::size_t shards,
                               ShardOutcome outcome) {
  if (m_peer_calls.erase(number) == 0) {
    return;
  }
  if (m_table && outcome.answer.version > m_table->Version()) {
    m_observer.OnNewerRoutes(peer, outcome.answer.version);
  }
  DelegationReply reply;
  switch (outcome.result) {
    case ForwardResult::kReplied:
      reply.kind = LeafReplyKind::kSucceeded;
      break;
    case ForwardResult::kNotSent:
      reply.kind = LeafReplyKind::kNotSent;
      break;
    case ForwardResult::kLost:
      reply.kind = LeafReplyKind::kLost;
      break;
  }
  reply.covered = std::move(outcome.answer.covered);
  reply.uncovered = std::move(outcome.answer.uncovered);
  reply.answer = std::move(outcome.answer.response);
  reply.processing_time = outcome.answer.processing_time;
  reply.stalls = std::move(outcome.answer.stalls);
  reply.is_cut_off = outcome.answer.is_cut_off;
  const bool is_valid =
      std::all_of(reply.covered.begin(), reply.covered.end(),
                  [&](std::size_t index) { return index < shards; });
  if (!is_valid) {
    reply.kind = LeafReplyKind::kLost;
    reply.covered.clear();
  }
  Apply(m_engine.OnDelegationReply(number, std::move(reply), Now()));
}

void RelayFront::AnswerPeer(RelayNumber number, const RelayOutcome& outcome) {
  RequestInFlight& request = m_in_flight.at(number);
  const auto reply = std::exchange(request.peer_reply, nullptr);
  if (reply) {
    reply(MakePeerAnswer(request, outcome));
  }
  if (outcome.is_continued) {
    m_pending_for_peers[request.DelegationKey()] = number;
    return;
  }
  m_pending_for_peers.erase(request.DelegationKey());
  m_in_flight.erase(number);
}

ShardAnswer RelayFront::MakePeerAnswer(const RequestInFlight& request,
                                       const RelayOutcome& outcome) {
  ShardAnswer answer;
  answer.covered = outcome.covered;
  answer.uncovered = outcome.uncovered;
  if (!outcome.answers.empty() && !request.route->IsFanOut()) {
    answer.response = m_protocol.MakeAnswer(outcome.answers.front());
  } else if (!outcome.answers.empty()) {
    answer.response = m_protocol.MakeMergedAnswer(outcome.answers, 0,
                                                  request.route->result_limit);
  }
  answer.processing_time = Now() - request.arrived;
  answer.stalls = m_engine.RecentStalls(request.route->shards, Now());
  answer.version = m_table && !m_is_stale ? m_table->Version() : 0;
  answer.is_cut_off =
      m_engine.Contact() == ContactState::kCutOff ||
      (m_engine.Contact() == ContactState::kDoubtful && answer.covered.empty());
  RelayEnd end;
  end.request_id = request.request_id;
  end.route = request.route;
  end.taken = answer.processing_time;
  end.waited = request.waited;
  end.time_for_answer = request.answer_by - request.arrived;
  end.missing_shards = outcome.uncovered.size();
  end.outcome = &outcome;
  end.refusal = outcome.refusal;
  end.is_for_peer = true;
  end.fingerprint = request.fingerprint;
  end.resource = request.resource;
  m_observer.OnRequestEnd(end);
  return answer;
}

}  // namespace bramleyspoke
