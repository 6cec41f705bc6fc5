#include <algorithm>
#include <map>
#include <utility>

#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Minimum number of parts for a delegation to another region, and to another
// failure domain of this region, where a delegation saves bandwidth but no
// time. Fewer parts are sent directly to their leafs.
constexpr std::size_t kMinCrossRegionParts = 2;
constexpr std::size_t kMinCrossDomainParts = 16;
// Maximum by which a leaf's cost may exceed the best leaf's for its region to
// be considered for a delegation. The tolerance lets more parts share a
// delegation.
constexpr std::chrono::milliseconds kCostTolerance{15};
// A delegation is overdue after the peer's estimated latency times this factor,
// plus this margin. The peer hedges slow leafs itself, so the limit is meant to
// detect only a lost peer.
constexpr double kPeerOverdueFactor = 1.6;
constexpr Duration kPeerOverdueMargin = std::chrono::milliseconds(15);
// How long after its end a stall is reported to peers; several queries arrive
// within this time.
constexpr std::chrono::milliseconds kMaxStallAge{1500};
// How long a peer that reaches no leafs gets no queries, unless its entry says
// before that it is in contact again.
constexpr std::chrono::seconds kCutOffTime{1};
// How long a peer gets no parts of a service handed over after it reached none
// of the service's leafs.
constexpr std::chrono::seconds kServiceUnreachableTime{1};
// Weight of a new sample in the smoothed round-trip time to a peer.
constexpr double kRttSampleWeight = 0.2;
// Delay after `answer_by` before pending shards are requested: at `answer_by`,
// an answer of sufficient coverage is sent without them.
constexpr Duration kContinuationDelay = std::chrono::milliseconds(1);
// Margin, in addition to the round-trip time, for a peer's response to arrive;
// also the delay after `answer_by` before a part is retried.
constexpr Duration kReturnMargin = std::chrono::milliseconds(6);

}  // namespace

// A request may need shards whose leafs are all in other regions, or many
// shards whose near leafs are in other failure domains. One delegation to a
// daemon at that location crosses the network once and returns one merged
// response. The location with the most parts comes first, which keeps
// delegations few; locations with equally many parts alternate, so that their
// leafs share the load.
void RelayEngine::DelegateParts(Request& request) {
  if (!request.MatchedRoute().IsFanOut() || request.request.is_for_peer) {
    return;
  }
  std::map<PeerLocation, std::vector<std::size_t>> by_location;
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    if (IsSuspect(request, request.parts[index]) ||
        !request.parts[index].IsUnsent()) {
      continue;
    }
    for (const PeerLocation& location : DelegationLocations(request, index)) {
      by_location[location].push_back(index);
    }
  }
  while (!by_location.empty()) {
    auto largest = by_location.begin();
    const bool is_even_turn = m_last_attempt % 2 == 0;
    for (auto candidate = by_location.begin(); candidate != by_location.end();
         ++candidate) {
      const std::size_t size = candidate->second.size();
      if (size > largest->second.size() ||
          (size == largest->second.size() && is_even_turn)) {
        largest = candidate;
      }
    }
    const std::vector<std::size_t> parts = std::move(largest->second);
    const PeerLocation location = largest->first;
    by_location.erase(largest);
    const std::size_t min_parts = location.failure_domain.empty()
                                      ? kMinCrossRegionParts
                                      : kMinCrossDomainParts;
    if (parts.size() < min_parts) {
      continue;
    }
    const auto peer = m_peers.Choose(location, m_now);
    if (!peer) {
      continue;
    }
    Delegate(request, parts, peer);
    for (auto& [other, remaining] : by_location) {
      std::erase_if(remaining, [&](std::size_t index) {
        return request.parts[index].delegation.has_value();
      });
    }
  }
}

// Returns the locations outside this failure domain whose leafs have the lowest
// or nearly the lowest cost for a part; none if the best leaf is in this
// failure domain.
std::vector<PeerLocation> RelayEngine::DelegationLocations(
    const Request& request,
    std::size_t index) const {
  const RelayService& service = *request.parts[index].service;
  const std::string& route_name = request.MatchedRoute().name;
  const LeafChoice best =
      SelectLeaf(request, request.parts[index], LeafScope::kDelegable);
  if (!best.leaf) {
    return {};
  }
  const Locality& here = m_leaf_table.OwnLocality();
  const std::string& domain = best.leaf->registration.failure_domain;
  if (m_leaf_table.RegionOf(*best.leaf) == here.region) {
    return domain == here.failure_domain
               ? std::vector<PeerLocation>()
               : std::vector<PeerLocation>{{here.region, domain}};
  }
  const Duration bound =
      best.leaf->load.Cost(route_name, m_now) + Duration(kCostTolerance);
  std::vector<PeerLocation> locations;
  for (const auto& leaf : service.leafs) {
    const PeerLocation location{m_leaf_table.RegionOf(*leaf), ""};
    if (leaf->draining_since || !leaf->load.IsUsable(m_now) ||
        location.region == here.region ||
        leaf->load.Cost(route_name, m_now) > bound) {
      continue;
    }
    if (std::find(locations.begin(), locations.end(), location) ==
        locations.end()) {
      locations.push_back(location);
    }
  }
  return locations;
}

void RelayEngine::Delegate(Request& request,
                           const std::vector<std::size_t>& parts,
                           const std::shared_ptr<PeerState>& peer) {
  const Route& route = request.MatchedRoute();
  DelegationState delegation_state;
  delegation_state.parts = parts;
  delegation_state.peer = peer;
  RelayDelegation delegation;
  // Both are sent as remaining times, from which the peer cannot subtract the
  // network latency.
  const Duration reserved = peer->load.RoundTripTime() + kReturnMargin;
  delegation.deadline = request.request.deadline - reserved;
  delegation.answer_by = request.request.answer_by - reserved;
  delegation.max_attempts = route.max_attempts;
  const Duration overdue = std::chrono::duration_cast<Duration>(
      peer->load.EstimatedLatency(route.name) * kPeerOverdueFactor);
  for (const std::size_t index : parts) {
    Part& part = request.parts[index];
    part.delegation = m_last_attempt + 1;
    part.is_next_attempt_free = false;
    delegation.credited.push_back(part.credit > 0);
    CreditRetryBudget(part, kDelegatorBudgetShare);
    part.max_credit = part.credit;
    delegation.max_attempts =
        std::min(delegation.max_attempts, AttemptsToDelegate(part, route));
    const bool is_bypassable = AreLeafsSettled(part, route);
    delegation.bypassable.push_back(is_bypassable);
    if (is_bypassable) {
      part.shared_since = part.shared_since.value_or(m_now);
      part.hedge_at = m_now + overdue + kPeerOverdueMargin;
    }
    delegation_state.services.push_back(part.service);
    delegation.shards.push_back(part.service->name);
  }
  for (const std::size_t index : parts) {
    request.parts[index].quota.OnDelegated(delegation.max_attempts);
  }
  ++m_counters.delegations;
  delegation_state.is_hand_over = std::any_of(
      parts.begin(), parts.end(),
      [&](std::size_t index) { return request.parts[index].hand_overs > 0; });
  m_counters.hand_overs += delegation_state.is_hand_over ? 1 : 0;
  SendDelegation(request, std::move(delegation_state), std::move(delegation));
}

void RelayEngine::ContinueDelegation(
    Request& request,
    const std::shared_ptr<const DelegationState>& delegation_state) {
  DelegationState next = *delegation_state;
  next.continued = delegation_state;
  RelayDelegation delegation;
  delegation.is_continuation = true;
  delegation.deadline = request.request.deadline -
                        next.peer->load.RoundTripTime() - kReturnMargin;
  delegation.answer_by = delegation.deadline;
  for (Part& part : request.parts) {
    if (part.pending == delegation_state) {
      part.pending.reset();
      part.retry_at.reset();
      part.delegation = m_last_attempt + 1;
    }
  }
  SendDelegation(request, std::move(next), std::move(delegation));
}

void RelayEngine::SendDelegation(Request& request,
                                 DelegationState delegation_state,
                                 RelayDelegation delegation) {
  const RelayAttemptNumber number = ++m_last_attempt;
  if (!delegation.is_continuation) {
    delegation_state.origin = number;
  }
  delegation.request = request.number;
  delegation.number = number;
  delegation.origin = delegation_state.origin;
  delegation.peer = delegation_state.peer->peer.address;
  delegation.shard_count = delegation_state.parts.size();
  delegation_state.request = request.number;
  delegation_state.route_name = request.MatchedRoute().name;
  delegation_state.sent_at = m_now;
  delegation_state.peer->load.OnSent(m_now);
  ++request.attempts;
  m_delegations.emplace(number, std::move(delegation_state));
  m_actions.delegations.push_back(std::move(delegation));
}

RelayActions RelayEngine::OnDelegationReply(RelayAttemptNumber number,
                                            DelegationReply reply,
                                            TimePoint now) {
  m_now = now;
  const auto found = m_delegations.find(number);
  if (found == m_delegations.end()) {
    return FinishEvent();
  }
  const DelegationState delegation_state = std::move(found->second);
  m_delegations.erase(found);
  RecordPeerReply(delegation_state, reply);
  if (Request* request = FindRequest(delegation_state.request)) {
    ApplyDelegationReply(*request, delegation_state, number, std::move(reply));
    MarkForUpdate(delegation_state.request);
  }
  return FinishEvent();
}

void RelayEngine::RecordPeerReply(const DelegationState& delegation_state,
                                  const DelegationReply& reply) {
  PeerState& peer = *delegation_state.peer;
  const Duration taken = m_now - delegation_state.sent_at;
  peer.load.OnEnded(m_now);
  if (reply.is_cut_off) {
    peer.cut_off_until = m_now + kCutOffTime;
    return;
  }
  if (reply.kind == LeafReplyKind::kSucceeded && delegation_state.continued) {
    peer.load.OnSuccess(m_now);
    return;
  }
  if (reply.kind == LeafReplyKind::kSucceeded) {
    const Duration rtt =
        std::max(taken - reply.processing_time, Duration::zero());
    const Duration smoothed_rtt =
        peer.load.RoundTripTime() +
        std::chrono::duration_cast<Duration>((rtt - peer.load.RoundTripTime()) *
                                             kRttSampleWeight);
    peer.load.OnAnswered(delegation_state.route_name, taken, smoothed_rtt,
                         std::nullopt, m_now);
    if (reply.covered.empty()) {
      peer.load.OnFailure(m_now);
    } else {
      peer.load.OnSuccess(m_now);
    }
    RecordStalls(delegation_state, reply);
    return;
  }
  peer.load.OnUnreachable(m_now);
  m_failed_attempts.push_back({delegation_state.request,
                               ToString(peer.peer.address), "peer", reply.kind,
                               taken, 0, ExchangePosition()});
}

void RelayEngine::RecordStalls(const DelegationState& delegation_state,
                               const DelegationReply& reply) {
  const TimePoint answered =
      m_now - delegation_state.peer->load.RoundTripTime() / 2;
  for (const StallNotice& stall : reply.stalls) {
    if (stall.shard >= delegation_state.services.size()) {
      continue;
    }
    const RelayService& service = *delegation_state.services[stall.shard];
    if (stall.leaf < service.leafs.size()) {
      const TimePoint end = answered - stall.ended_ago;
      service.leafs[stall.leaf]->load.NoteStall(end - stall.length, end);
    }
  }
}

std::vector<StallNotice> RelayEngine::RecentStalls(
    const std::vector<std::string>& shards,
    TimePoint now) {
  std::vector<StallNotice> stalls;
  for (std::size_t shard = 0; shard < shards.size(); ++shard) {
    const auto& leafs = m_leaf_table.Service(shards[shard]).leafs;
    for (std::size_t index = 0; index < leafs.size(); ++index) {
      const StallPredictor& predictor = leafs[index]->load.Stalls();
      const bool is_recent = predictor.LastEnd() &&
                             *predictor.LastEnd() <= now &&
                             now - *predictor.LastEnd() < kMaxStallAge;
      if (is_recent && m_leaf_table.RegionOf(*leafs[index]) ==
                           m_leaf_table.OwnLocality().region) {
        stalls.push_back(
            {shard, index, now - *predictor.LastEnd(), predictor.Length()});
      }
    }
  }
  return stalls;
}

bool RelayEngine::IsAnyCoveredByOther(const Request& request,
                                      const DelegationState& delegation_state,
                                      const DelegationReply& reply) {
  return std::any_of(
      reply.covered.begin(), reply.covered.end(), [&](std::size_t index) {
        return request.parts[delegation_state.parts.at(index)].is_covered;
      });
}

// The peer's answer is merged and cannot be split, so it replaces the answers
// of covered parts that leafs answered directly in the meantime. It is of no
// use if it contains a part that another peer's answer contains as well.
void RelayEngine::TakePeerAnswer(Request& request,
                                 const DelegationState& delegation_state,
                                 DelegationReply& reply) {
  if (reply.covered.empty()) {
    return;
  }
  if (!request.MatchedRoute().IsFanOut()) {
    Part& part = request.parts.front();
    if (part.IsOpen()) {
      part.answer = std::move(reply.answer);
    }
    return;
  }
  if (IsAnyCoveredByOther(request, delegation_state, reply)) {
    return;
  }
  request.peer_answers.push_back(std::move(reply.answer));
  for (const std::size_t index : reply.covered) {
    Part& part = request.parts[delegation_state.parts.at(index)];
    part.answer.reset();
    part.is_covered = true;
  }
}

void RelayEngine::ApplyDelegationReply(Request& request,
                                       const DelegationState& delegation_state,
                                       RelayAttemptNumber number,
                                       DelegationReply reply) {
  std::vector<std::size_t> delegated_parts;
  for (const std::size_t index : delegation_state.parts) {
    Part& part = request.parts[index];
    if (part.delegation == number) {
      const bool is_not_sent =
          reply.kind == LeafReplyKind::kNotSent && !delegation_state.continued;
      part.delegation.reset();
      part.is_next_attempt_free = is_not_sent;
      if (is_not_sent) {
        part.quota.OnDelegationNotSent();
      }
      delegated_parts.push_back(index);
    }
  }
  if (reply.kind != LeafReplyKind::kSucceeded) {
    for (const std::size_t index : delegated_parts) {
      OnDelegationLost(request, index);
    }
    return;
  }
  TakePeerAnswer(request, delegation_state, reply);
  const auto original =
      delegation_state.continued
          ? delegation_state.continued
          : std::make_shared<const DelegationState>(delegation_state);
  std::vector<std::size_t> not_run;
  for (const UncoveredShard& shard : reply.uncovered) {
    if (shard.place >= delegation_state.parts.size()) {
      continue;
    }
    const std::size_t index = delegation_state.parts[shard.place];
    Part& part = request.parts[index];
    part.quota.OnPeerReport(shard.possible_runs, !shard.is_pending);
    // What reached no leaf was no attempt; a peer that still has the part may
    // send it yet.
    part.is_next_attempt_free =
        part.is_next_attempt_free ||
        (part.IsOpen() && !shard.is_pending && !shard.MayHaveArrived());
    const bool is_not_run = !shard.is_pending && shard.possible_runs == 0;
    if (is_not_run && delegation_state.is_hand_over && !reply.is_cut_off) {
      delegation_state.peer->unreachable_services[part.service->name] =
          m_now + kServiceUnreachableTime;
    }
    if (is_not_run && (reply.is_cut_off || delegation_state.is_hand_over)) {
      not_run.push_back(index);
    } else {
      ApplyUncovered(request, original, shard, reply.is_cut_off);
    }
  }
  SendNotRun(request, not_run);
  // A part that the reply does not mention is no longer known to the peer.
  for (const std::size_t index : delegated_parts) {
    if (!request.parts[index].IsInProgress()) {
      OnDelegationLost(request, index);
    }
  }
}

void RelayEngine::OnDelegationLost(Request& request, std::size_t index) {
  Part& part = request.parts[index];
  part.quota.OnDelegationLost();
  if (!part.IsOpen() || !part.outstanding.empty()) {
    return;
  }
  if (!part.is_next_attempt_free) {
    part.verdict = Combine(part.verdict, Verdict::kMayHaveRun);
  }
  Retry(request, index);
}

void RelayEngine::ApplyUncovered(
    Request& request,
    const std::shared_ptr<const DelegationState>& delegation_state,
    const UncoveredShard& shard,
    bool is_peer_cut_off) {
  const std::size_t index = delegation_state->parts[shard.place];
  Part& part = request.parts[index];
  if (!part.IsOpen()) {
    return;
  }
  if (part.attempts == 0 && !shard.is_pending) {
    // All attempts are the peer's, which has counted them.
    part.shared_since.reset();
  }
  if (shard.possible_runs > 0) {
    part.verdict = Combine(part.verdict, Verdict::kMayHaveRun);
  }
  if (!part.outstanding.empty()) {
    return;
  }
  if (!shard.is_pending) {
    if (!is_peer_cut_off) {
      RecordLostAttempts(request, shard.possible_runs);
    }
    RetryIfInTime(request, index);
    return;
  }
  part.pending = delegation_state;
  part.retry_at =
      std::max(m_now, request.request.answer_by + kContinuationDelay);
}

// Requests parts that are pending at peers, once the answer needs them.
void RelayEngine::ContinuePendingDelegations(Request& request) {
  for (Part& part : request.parts) {
    if (part.IsOpen() && part.pending && part.retry_at &&
        *part.retry_at <= m_now) {
      const auto pending = part.pending;
      ContinueDelegation(request, pending);
    }
  }
}

// Retries a part that the peer failed to answer if the response can arrive by
// `answer_by` or that has passed; otherwise only after `answer_by`, if the
// answer then needs the part.
void RelayEngine::RetryIfInTime(Request& request, std::size_t index) {
  Part& part = request.parts[index];
  if (!MayReachAnotherLeaf(request, part)) {
    Retry(request, index);
    return;
  }
  const std::string& route_name = request.MatchedRoute().name;
  const LeafChoice choice = ChooseLeaf(*part.service, route_name, {}, m_now);
  const bool is_in_time =
      choice.leaf && m_now + choice.leaf->load.Cost(route_name, m_now) <
                         request.request.answer_by;
  const bool is_out_of_reach = !choice.leaf && !choice.is_full &&
                               !choice.wait && IsOutOfReach(*part.service);
  if (is_in_time || is_out_of_reach || m_now > request.request.answer_by) {
    Retry(request, index);
  } else {
    part.retry_at = request.request.answer_by + kReturnMargin;
  }
}

}  // namespace bramleyspoke
