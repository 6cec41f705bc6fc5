#include "request/peer_table.h"

#include <algorithm>
#include <utility>

namespace bramleyspoke {
namespace {

// Practically no limit: a peer runs many queries concurrently.
constexpr std::uint32_t kPeerSlots = 1000;

bool IsInContact(const PeerState& state, TimePoint now) {
  return !state.IsCutOff(now) && !state.load.IsUnreachable(now);
}

bool Passes(PeerFilter filter, const PeerState& state, TimePoint now) {
  const bool is_prompt = state.load.IsUsable(now) &&
                         !state.load.IsSilent(now) &&
                         now >= state.overdue_until;
  return IsInContact(state, now) &&
         (is_prompt || filter == PeerFilter::kInContact);
}

}  // namespace

bool PeerLocation::Contains(const RelayPeer& peer) const {
  return (region.empty() || peer.region == region) &&
         (failure_domain.empty() || peer.failure_domain == failure_domain);
}

bool PeerState::Update(const RelayPeer& entry) {
  RelayPeer same = peer;
  same.is_cut_off = entry.is_cut_off;
  if (same != entry) {
    return false;
  }
  const bool has_returned = peer.is_cut_off && !entry.is_cut_off;
  if (has_returned) {
    cut_off_until = {};
  }
  peer = entry;
  return true;
}

bool PeerState::Reaches(const std::string& service, TimePoint now) const {
  const auto found = unreachable_services.find(service);
  return found == unreachable_services.end() || now >= found->second;
}

void PeerTable::SetPeers(const std::vector<RelayPeer>& peers) {
  std::map<Endpoint, std::shared_ptr<PeerState>> peers_by_address;
  for (const RelayPeer& peer : peers) {
    const auto known = m_peers.find(peer.address);
    if (known != m_peers.end() && known->second->Update(peer)) {
      peers_by_address.insert(*known);
    } else {
      const Duration round_trip =
          peer.region == m_region ? kNearRoundTrip : kFarRoundTrip;
      peers_by_address.emplace(
          peer.address, std::make_shared<PeerState>(PeerState{
                            peer, LeafLoad(kPeerSlots, round_trip, m_fleet)}));
    }
  }
  m_peers = std::move(peers_by_address);
}

bool PeerTable::IsAnyInContact(TimePoint now) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [now](const auto& entry) {
    return IsInContact(*entry.second, now);
  });
}

// Chooses the peer with the fewest queries in flight, in turn among equals.
std::shared_ptr<PeerState> PeerTable::Choose(const PeerLocation& location,
                                             TimePoint now,
                                             const std::string& service,
                                             PeerFilter filter) {
  std::vector<std::shared_ptr<PeerState>> usable;
  for (const auto& [address, state] : m_peers) {
    if (!location.Contains(state->peer) || !Passes(filter, *state, now) ||
        !state->Reaches(service, now)) {
      continue;
    }
    if (!usable.empty() &&
        state->load.InFlight() < usable.front()->load.InFlight()) {
      usable.clear();
    }
    if (usable.empty() ||
        state->load.InFlight() == usable.front()->load.InFlight()) {
      usable.push_back(state);
    }
  }
  return usable.empty() ? nullptr : usable[m_next_index++ % usable.size()];
}

}  // namespace bramleyspoke
