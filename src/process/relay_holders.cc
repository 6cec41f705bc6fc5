#include "process/relay_holders.h"

#include <algorithm>

#include "process/watch_source.h"

namespace bramleyspoke {

std::set<Endpoint> RelayHolders::Fleet::PeerAddresses() const {
  std::set<Endpoint> addresses;
  for (const RelayPeer& peer : peers) {
    addresses.insert(peer.address);
  }
  return addresses;
}

RelayHolders::Fleet RelayHolders::Update(std::size_t holder_count) {
  Fleet fleet;
  fleet.holders = ChooseHolders(m_daemons, holder_count);
  bool is_chosen = false;
  for (const DaemonEntry& daemon : fleet.holders) {
    ++fleet.by_region[daemon.region];
    if (IsSelf(daemon)) {
      is_chosen = true;
    } else {
      fleet.peers.push_back({daemon.peer, daemon.region, daemon.failure_domain,
                             daemon.is_cut_off});
    }
  }
  fleet.by_region[m_self.region] += is_chosen ? 0 : 1;
  fleet.is_known = !m_daemons.empty();
  m_role.Update(IsRegistered(), is_chosen);
  return fleet;
}

std::optional<Endpoint> RelayHolders::WatchSourceIn(const Fleet& fleet) const {
  return ChooseWatchSource(m_self.peer, m_daemons, fleet.holders);
}

// A daemon that stops leaves its own address out, unless there is no other and
// it still serves new requests.
std::vector<Endpoint> RelayHolders::AddressesFor(
    const std::string& caller_region,
    std::size_t holder_count,
    const std::set<std::string>& serving_regions,
    const OwnState& own) const {
  std::vector<DaemonEntry> holders = ChooseHolders(m_daemons, holder_count);
  for (DaemonEntry& daemon : holders) {
    if (IsSelf(daemon)) {
      daemon.is_cut_off = own.is_cut_off;
    }
  }
  std::vector<Endpoint> addresses = ChooseCallerAddresses(
      KeepInContact(holders), serving_regions, caller_region);
  if (!own.accepts_requests || (own.is_stopping && addresses.size() > 1)) {
    std::erase(addresses, m_self.address);
  }
  if (addresses.empty() && own.is_ready) {
    addresses.push_back(m_self.address);
  }
  return addresses;
}

bool RelayHolders::IsRegistered() const {
  return std::any_of(
      m_daemons.begin(), m_daemons.end(),
      [this](const DaemonEntry& daemon) { return IsSelf(daemon); });
}

}  // namespace bramleyspoke
