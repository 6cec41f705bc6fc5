// Hands parts whose leafs are out of this daemon's reach over to a peer.

#include <algorithm>
#include <map>
#include <utility>

#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Peers that get a part at most: those next to a daemon that is cut off may be
// so themselves and not know it yet.
constexpr std::uint32_t kMaxHandOvers = 4;
// How long parts of a service are not handed over after no peer reached it.
constexpr std::chrono::seconds kPeersFailedTime{1};
// How long an overdue peer is passed over: what one that is cut off takes to
// find out.
constexpr std::chrono::milliseconds kOverdueTime{250};

}  // namespace

bool RelayEngine::IsOutOfReach(const RelayService& service) const {
  return std::any_of(service.leafs.begin(), service.leafs.end(),
                     [this](const auto& leaf) {
                       return StateOf(*leaf, m_now) == LeafState::kUnreachable;
                     });
}

// A request on trial may crash the leafs of one daemon after the other.
bool RelayEngine::CanHandOver(const Request& request, const Part& part) const {
  return MayRunAgain(request, part) && !request.request.is_for_peer &&
         !request.IsOnTrial() && part.hand_overs < kMaxHandOvers &&
         part.outstanding.empty() && !part.delegation &&
         AttemptsToDelegate(part, request.MatchedRoute()) > 0 &&
         m_now >= part.service->peers_failed_until &&
         IsOutOfReach(*part.service) && m_peers.IsAnyInContact(m_now);
}

bool RelayEngine::MarkForHandOver(const Request& request, Part& part) {
  if (!CanHandOver(request, part)) {
    return false;
  }
  const LeafChoice choice =
      ChooseLeaf(*part.service, request.MatchedRoute().name, {}, m_now);
  part.awaits_hand_over = !choice.leaf && !choice.is_full && !choice.wait;
  return part.awaits_hand_over;
}

void RelayEngine::HandOverParts(Request& request) {
  HandOvers by_peer;
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    Part& part = request.parts[index];
    if (!std::exchange(part.awaits_hand_over, false) || !part.IsOpen()) {
      continue;
    }
    if (!part.is_next_attempt_free && !TakeRetryToken(part)) {
      ++m_counters.budget_refusals;
      HoldOrFail(request, index, Duration::zero());
      continue;
    }
    ++part.hand_overs;
    if (const auto peer = ChooseHandOverPeer(*part.service, by_peer)) {
      by_peer[peer].push_back(index);
    } else {
      part.service->peers_failed_until = m_now + kPeersFailedTime;
      FailUnlessOutstanding(part);
    }
  }
  for (const auto& [peer, parts] : by_peer) {
    Delegate(request, parts, peer);
  }
}

// The peer may have sent the parts to leafs. What it still answers is not
// used, as another peer's answer covers the same parts. Without another peer
// that is prompt, the wait goes on: all are slow.
void RelayEngine::HandOverElsewhere(Request& request,
                                    RelayAttemptNumber delegation) {
  const auto found = m_delegations.find(delegation);
  if (found == m_delegations.end()) {
    return;
  }
  const auto is_lost = [&](std::size_t index) {
    const Part& part = request.parts[index];
    return part.delegation != delegation ||
           IsBoundedByLeafs(part, request.MatchedRoute());
  };
  const std::vector<std::size_t> parts = found->second.parts;
  if (!request.IsIdempotent() ||
      !std::all_of(parts.begin(), parts.end(), is_lost)) {
    return;
  }
  PeerState& peer = *found->second.peer;
  peer.overdue_until = m_now + kOverdueTime;
  if (!m_peers.Choose({"", ""}, m_now)) {
    return;
  }
  peer.load.OnEnded(m_now);
  m_delegations.erase(found);
  m_actions.cancellations.push_back(delegation);
  for (const std::size_t index : parts) {
    Part& part = request.parts[index];
    if (part.delegation != delegation) {
      continue;
    }
    part.delegation.reset();
    part.quota.OnDelegationLost();
    part.verdict = Combine(part.verdict, Verdict::kMayHaveRun);
    if (part.IsOpen()) {
      Retry(request, index);
    }
  }
}

// Parts of one request go to as few peers as possible.
std::shared_ptr<PeerState> RelayEngine::ChooseHandOverPeer(
    const RelayService& service,
    const HandOvers& chosen) {
  const Locality& here = m_leaf_table.OwnLocality();
  const std::string region = RegionOfLeafs(service);
  std::vector<PeerLocation> locations;
  if (region == here.region) {
    locations.push_back({here.region, here.failure_domain});
  }
  locations.push_back({region, ""});
  locations.push_back({"", ""});
  for (const PeerLocation& location : locations) {
    for (const auto& [peer, parts] : chosen) {
      if (location.Contains(peer->peer) && peer->Reaches(service.name, m_now)) {
        return peer;
      }
    }
    if (auto peer = m_peers.Choose(location, m_now, service.name)) {
      return peer;
    }
  }
  return m_peers.Choose({"", ""}, m_now, service.name, PeerFilter::kInContact);
}

// This region if it has any of the leafs.
std::string RelayEngine::RegionOfLeafs(const RelayService& service) const {
  std::string region;
  for (const auto& leaf : service.leafs) {
    if (leaf->is_near) {
      return m_leaf_table.OwnLocality().region;
    }
    if (!leaf->draining_since) {
      region = m_leaf_table.RegionOf(*leaf);
    }
  }
  return region;
}

void RelayEngine::SendNotRun(Request& request,
                             const std::vector<std::size_t>& parts) {
  for (const std::size_t index : parts) {
    Part& part = request.parts[index];
    const bool is_retry = request.IsOnTrial() || !part.IsUnsent();
    if (is_retry && part.IsOpen()) {
      Retry(request, index);
    }
  }
  if (!parts.empty() && !request.IsOnTrial()) {
    SendParts(request);
  }
}

}  // namespace bramleyspoke
