#include <algorithm>
#include <map>
#include <utility>

#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Fewer parts than this are asked directly.
constexpr std::size_t kFewestParts = 2;
// When parts at a peer are overdue: the peer deals with slow leafs itself, so
// that only a peer that is lost is meant.
constexpr double kPeerOverdueFactor = 1.6;
constexpr Duration kPeerOverdueMargin = std::chrono::milliseconds(15);
// Weight of a new sample of the way to a peer.
constexpr double kWayWeight = 0.2;
// Kept of the time for the answer on its way back.
constexpr Duration kReturnMargin = std::chrono::milliseconds(6);

}  // namespace

// Load: each query asks shards whose leafs all stand in other regions. One
// query to a daemon there crosses once, and its leafs' answers come back
// merged.
void RelayEngine::DelegateParts(Request& request) {
  if (!request.TheRoute().IsFanOut() || request.request.is_for_peer) {
    return;
  }
  const Locality& here = m_book.Place();
  std::map<std::string, std::vector<std::size_t>> by_region;
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    const LeafChoice choice = ChooseLeaf(*request.parts[index].service,
                                         request.TheRoute().name, {}, m_now);
    if (!choice.leaf) {
      continue;
    }
    const auto region =
        here.regions.find(choice.leaf->registration.failure_domain);
    if (region != here.regions.end() && region->second != here.region) {
      by_region[region->second].push_back(index);
    }
  }
  for (const auto& [region, parts] : by_region) {
    if (parts.size() < kFewestParts) {
      continue;
    }
    if (const auto peer = m_peers.Choose(region, m_now)) {
      Delegate(request, parts, peer);
    }
  }
}

void RelayEngine::Delegate(Request& request,
                           const std::vector<std::size_t>& parts,
                           const std::shared_ptr<PeerState>& peer) {
  const SendNumber number = ++m_last_send;
  const std::string& kind = request.TheRoute().name;
  RelayDelegation delegation;
  delegation.request = request.number;
  delegation.number = number;
  delegation.peer = peer->peer.address;
  // Both travel as time left, which the way there uses up unseen.
  const Duration way = peer->load.Way() + kReturnMargin;
  delegation.deadline = request.request.deadline - way;
  delegation.answer_by = request.request.answer_by - way;
  const Duration overdue = std::chrono::duration_cast<Duration>(
      peer->load.Usual(kind) * kPeerOverdueFactor);
  for (const std::size_t index : parts) {
    Part& part = request.parts[index];
    part.delegation = number;
    part.is_next_free = false;
    part.hedge_at = m_now + overdue + kPeerOverdueMargin;
    ++part.sends;
    delegation.shards.push_back(part.service->name);
  }
  ++request.sends;
  ++m_counters.delegations;
  peer->load.OnSent(m_now);
  m_delegated.emplace(number,
                      Delegated{request.number, parts, peer, kind, m_now});
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
  if (reply.kind == LeafReplyKind::kSucceeded) {
    const Duration way = std::max(taken - reply.served_in, Duration::zero());
    const Duration smooth =
        peer.load.Way() + std::chrono::duration_cast<Duration>(
                              (way - peer.load.Way()) * kWayWeight);
    peer.load.OnAnswered(delegated.kind, taken, smooth, std::nullopt, m_now);
    peer.load.OnSuccess(m_now);
    return;
  }
  peer.load.OnUnreachable(m_now);
  m_failed_sends.push_back({delegated.request, ToString(peer.peer.address),
                            "peer", reply.kind, taken});
}

// A part that was answered directly meanwhile gives way: the peer's answer is
// merged and can't be taken apart.
void RelayEngine::ApplyDelegation(Request& request,
                                  const Delegated& delegated,
                                  SendNumber number,
                                  DelegationReply reply) {
  const bool is_answered =
      reply.kind == LeafReplyKind::kSucceeded && !reply.covered.empty();
  if (is_answered) {
    request.peer_answers.push_back(std::move(reply.answer));
    for (const std::size_t place : reply.covered) {
      Part& part = request.parts[delegated.parts.at(place)];
      part.answer.reset();
      part.is_covered = true;
    }
  }
  for (const std::size_t index : delegated.parts) {
    Part& part = request.parts[index];
    if (part.delegation != number) {
      continue;
    }
    part.delegation.reset();
    if (!part.IsOpen()) {
      continue;
    }
    if (reply.kind == LeafReplyKind::kNotSent) {
      part.is_next_free = true;
    } else {
      part.verdict = Combine(part.verdict, Verdict::kMayHaveRun);
    }
    RetryIfInTime(request, index);
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
