#include <algorithm>
#include <map>
#include <utility>

#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Fewer parts than this are asked directly: of another region, and of another
// failure domain of this one, where a query to a peer saves bytes and no time.
constexpr std::size_t kFewestFarParts = 2;
constexpr std::size_t kFewestNearParts = 16;
// By how much a leaf may seem slower than the best one and still serve a part,
// if that keeps the part together with others.
constexpr std::chrono::milliseconds kNearlyAsGood{15};
// When parts at a peer are overdue: the peer deals with slow leafs itself, so
// that only a peer that is lost is meant.
constexpr double kPeerOverdueFactor = 1.6;
constexpr Duration kPeerOverdueMargin = std::chrono::milliseconds(15);
// How long a stall is told on after its end; several queries come meanwhile.
constexpr std::chrono::milliseconds kStallNews{1500};
// Weight of a new sample of the way to a peer.
constexpr double kWayWeight = 0.2;
// After the time at which an answer with shards left out would be sent.
constexpr Duration kPendingDelay = std::chrono::milliseconds(1);
// Kept of the time for the answer on its way back.
constexpr Duration kReturnMargin = std::chrono::milliseconds(6);

}  // namespace

// Load: each query asks shards whose leafs all stand in other regions, or many
// whose near leafs stand in other failure domains. One query to a daemon there
// crosses once, and its leafs' answers come back merged. Few places with many
// parts each cross least; among equals they take turns, so that the leafs of
// each get their part of the work.
void RelayEngine::DelegateParts(Request& request) {
  if (!request.TheRoute().IsFanOut() || request.request.is_for_peer) {
    return;
  }
  std::map<PeerPlace, std::vector<std::size_t>> by_place;
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    if (IsSuspect(request.parts[index])) {
      continue;
    }
    for (const PeerPlace& place : NearerPlaces(request, index)) {
      by_place[place].push_back(index);
    }
  }
  while (!by_place.empty()) {
    auto most = by_place.begin();
    const bool is_even_turn = m_last_send % 2 == 0;
    for (auto row = by_place.begin(); row != by_place.end(); ++row) {
      const std::size_t size = row->second.size();
      if (size > most->second.size() ||
          (size == most->second.size() && is_even_turn)) {
        most = row;
      }
    }
    const std::vector<std::size_t> parts = std::move(most->second);
    const PeerPlace place = most->first;
    by_place.erase(most);
    const std::size_t fewest =
        place.failure_domain.empty() ? kFewestFarParts : kFewestNearParts;
    if (parts.size() < fewest) {
      continue;
    }
    const auto peer = m_peers.Choose(place, m_now);
    if (!peer) {
      continue;
    }
    Delegate(request, parts, peer);
    for (auto& [other, left] : by_place) {
      std::erase_if(left, [&](std::size_t index) {
        return request.parts[index].delegation.has_value();
      });
    }
  }
}

// Places whose leafs serve a part best or nearly so; none if a leaf of this
// failure domain does.
std::vector<PeerPlace> RelayEngine::NearerPlaces(const Request& request,
                                                 std::size_t index) const {
  const RelayService& service = *request.parts[index].service;
  const std::string& kind = request.TheRoute().name;
  const LeafChoice best = ChooseFirst(request, request.parts[index]);
  if (!best.leaf) {
    return {};
  }
  const Locality& here = m_book.Place();
  const std::string& domain = best.leaf->registration.failure_domain;
  if (m_book.RegionOf(*best.leaf) == here.region) {
    return domain == here.failure_domain
               ? std::vector<PeerPlace>()
               : std::vector<PeerPlace>{{here.region, domain}};
  }
  const Duration bound =
      best.leaf->load.Cost(kind, m_now) + Duration(kNearlyAsGood);
  std::vector<PeerPlace> places;
  for (const auto& leaf : service.leafs) {
    const PeerPlace place{m_book.RegionOf(*leaf), ""};
    if (leaf->draining_since || !leaf->load.IsUsable(m_now) ||
        place.region == here.region || leaf->load.Cost(kind, m_now) > bound) {
      continue;
    }
    if (std::find(places.begin(), places.end(), place) == places.end()) {
      places.push_back(place);
    }
  }
  return places;
}

void RelayEngine::Delegate(Request& request,
                           const std::vector<std::size_t>& parts,
                           const std::shared_ptr<PeerState>& peer) {
  const Route& route = request.TheRoute();
  Delegated delegated;
  delegated.parts = parts;
  delegated.peer = peer;
  RelayDelegation delegation;
  // Both travel as time left, which the way there uses up unseen.
  const Duration way = peer->load.Way() + kReturnMargin;
  delegation.deadline = request.request.deadline - way;
  delegation.answer_by = request.request.answer_by - way;
  const Duration overdue = std::chrono::duration_cast<Duration>(
      peer->load.Usual(route.name) * kPeerOverdueFactor);
  for (const std::size_t index : parts) {
    Part& part = request.parts[index];
    part.delegation = m_last_send + 1;
    part.is_next_free = false;
    part.service->budget.OnRequest(kDelegatorShare);
    if (MayAskBeside(part, route)) {
      part.hedge_at = m_now + overdue + kPeerOverdueMargin;
    }
    delegated.services.push_back(part.service);
    delegation.shards.push_back(part.service->name);
  }
  ++m_counters.delegations;
  Launch(request, std::move(delegated), std::move(delegation));
}

void RelayEngine::ContinueDelegation(
    Request& request,
    const std::shared_ptr<const Delegated>& delegated) {
  Delegated next = *delegated;
  next.continued = delegated;
  RelayDelegation delegation;
  delegation.is_continuation = true;
  delegation.deadline =
      request.request.deadline - next.peer->load.Way() - kReturnMargin;
  delegation.answer_by = delegation.deadline;
  for (Part& part : request.parts) {
    if (part.pending == delegated) {
      part.pending.reset();
      part.retry_at.reset();
      part.delegation = m_last_send + 1;
    }
  }
  Launch(request, std::move(next), std::move(delegation));
}

void RelayEngine::Launch(Request& request,
                         Delegated delegated,
                         RelayDelegation delegation) {
  const SendNumber number = ++m_last_send;
  delegation.request = request.number;
  delegation.number = number;
  delegation.peer = delegated.peer->peer.address;
  delegated.request = request.number;
  delegated.kind = request.TheRoute().name;
  delegated.sent = m_now;
  delegated.peer->load.OnSent(m_now);
  ++request.sends;
  m_delegated.emplace(number, std::move(delegated));
  m_actions.delegations.push_back(std::move(delegation));
}

RelayActions RelayEngine::OnDelegationReply(SendNumber number,
                                            DelegationReply reply,
                                            TimePoint now) {
  m_now = now;
  const auto found = m_delegated.find(number);
  if (found == m_delegated.end()) {
    return End();
  }
  const Delegated delegated = std::move(found->second);
  m_delegated.erase(found);
  ObservePeer(delegated, reply);
  if (Request* request = Find(delegated.request)) {
    ApplyDelegation(*request, delegated, number, std::move(reply));
    Touch(delegated.request);
  }
  return End();
}

void RelayEngine::ObservePeer(const Delegated& delegated,
                              const DelegationReply& reply) {
  PeerState& peer = *delegated.peer;
  const Duration taken = m_now - delegated.sent;
  peer.load.OnEnded(m_now);
  if (reply.kind == LeafReplyKind::kSucceeded && delegated.continued) {
    peer.load.OnSuccess(m_now);
    return;
  }
  if (reply.kind == LeafReplyKind::kSucceeded) {
    const Duration way = std::max(taken - reply.served_in, Duration::zero());
    const Duration smooth =
        peer.load.Way() + std::chrono::duration_cast<Duration>(
                              (way - peer.load.Way()) * kWayWeight);
    peer.load.OnAnswered(delegated.kind, taken, smooth, std::nullopt, m_now);
    peer.load.OnSuccess(m_now);
    ObserveStalls(delegated, reply);
    return;
  }
  peer.load.OnUnreachable(m_now);
  m_failed_sends.push_back({delegated.request, ToString(peer.peer.address),
                            "peer", reply.kind, taken});
}

void RelayEngine::ObserveStalls(const Delegated& delegated,
                                const DelegationReply& reply) {
  const TimePoint answered = m_now - delegated.peer->load.Way() / 2;
  for (const StallNotice& stall : reply.stalls) {
    if (stall.shard >= delegated.services.size()) {
      continue;
    }
    const RelayService& service = *delegated.services[stall.shard];
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
    const auto& leafs = m_book.Service(shards[shard]).leafs;
    for (std::size_t index = 0; index < leafs.size(); ++index) {
      const StallPredictor& seen = leafs[index]->load.Stalls();
      const bool is_recent = seen.LastEnd() && *seen.LastEnd() <= now &&
                             now - *seen.LastEnd() < kStallNews;
      if (is_recent &&
          m_book.RegionOf(*leafs[index]) == m_book.Place().region) {
        stalls.push_back({shard, index, now - *seen.LastEnd(), seen.Length()});
      }
    }
  }
  return stalls;
}

// A part that was answered directly meanwhile gives way: the peer's answer is
// merged and can't be taken apart.
void RelayEngine::ApplyDelegation(Request& request,
                                  const Delegated& delegated,
                                  SendNumber number,
                                  DelegationReply reply) {
  std::vector<std::size_t> waiting;
  for (const std::size_t index : delegated.parts) {
    Part& part = request.parts[index];
    if (part.delegation == number) {
      part.delegation.reset();
      part.is_next_free = reply.kind == LeafReplyKind::kNotSent;
      waiting.push_back(index);
    }
  }
  if (reply.kind != LeafReplyKind::kSucceeded) {
    for (const std::size_t index : waiting) {
      OnPeerLost(request, index);
    }
    return;
  }
  if (!reply.covered.empty()) {
    request.peer_answers.push_back(std::move(reply.answer));
  }
  for (const std::size_t place : reply.covered) {
    Part& part = request.parts[delegated.parts.at(place)];
    part.answer.reset();
    part.is_covered = true;
  }
  const auto kept = delegated.continued
                        ? delegated.continued
                        : std::make_shared<const Delegated>(delegated);
  for (const UncoveredShard& shard : reply.uncovered) {
    if (shard.place < delegated.parts.size()) {
      ApplyUncovered(request, kept, shard);
    }
  }
  // What the peer said nothing of is no longer known there.
  for (const std::size_t index : waiting) {
    const Part& part = request.parts[index];
    if (!part.pending && !part.retry_at && !part.waiting) {
      OnPeerLost(request, index);
    }
  }
}

void RelayEngine::OnPeerLost(Request& request, std::size_t index) {
  Part& part = request.parts[index];
  if (!part.IsOpen() || !part.running.empty()) {
    return;
  }
  if (!part.is_next_free) {
    part.verdict = Combine(part.verdict, Verdict::kMayHaveRun);
  }
  if (part.is_next_free || MayAskBeside(part, request.TheRoute())) {
    Retry(request, index);
  } else {
    GiveUp(part);
  }
}

// A lost peer may have asked as many leafs as the route allows. Asking again is
// safe only if there are no others that would come on top.
bool RelayEngine::MayAskBeside(const Part& part, const Route& route) {
  return part.service->leafs.size() <= route.max_attempts;
}

void RelayEngine::ApplyUncovered(
    Request& request,
    const std::shared_ptr<const Delegated>& delegated,
    const UncoveredShard& shard) {
  const std::size_t index = delegated->parts[shard.place];
  Part& part = request.parts[index];
  if (!part.IsOpen()) {
    return;
  }
  // A continuation tells the same leafs again.
  part.runs = std::max(part.runs, shard.runs);
  if (shard.runs > 0) {
    part.verdict = Combine(part.verdict, Verdict::kMayHaveRun);
  }
  if (!part.running.empty()) {
    return;
  }
  if (!shard.is_pending) {
    RetryIfInTime(request, index);
    return;
  }
  part.pending = delegated;
  part.retry_at = std::max(m_now, request.request.answer_by + kPendingDelay);
}

// Parts that are pending at peers, once the answer needs them.
void RelayEngine::AskForPending(Request& request) {
  for (Part& part : request.parts) {
    if (part.IsOpen() && part.pending && part.retry_at &&
        *part.retry_at <= m_now) {
      const auto pending = part.pending;
      ContinueDelegation(request, pending);
    }
  }
}

// What the peer left out is asked for again if that can still be in time; else
// only once the answer turns out to need it.
void RelayEngine::RetryIfInTime(Request& request, std::size_t index) {
  Part& part = request.parts[index];
  const std::string& kind = request.TheRoute().name;
  const LeafChoice choice = ChooseLeaf(*part.service, kind, {}, m_now);
  const bool is_in_time =
      choice.leaf &&
      m_now + choice.leaf->load.Cost(kind, m_now) < request.request.answer_by;
  if (is_in_time || m_now > request.request.answer_by) {
    Retry(request, index);
  } else {
    part.retry_at = request.request.answer_by + kReturnMargin;
  }
}

}  // namespace bramleyspoke
