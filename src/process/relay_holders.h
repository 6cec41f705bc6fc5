#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "process/holder_choice.h"
#include "process/holder_role.h"
#include "request/peer_table.h"

namespace bramleyspoke {

/// The registered daemons as one of them sees them: which are holders, whether
/// it is one itself, and which addresses callers get.
class RelayHolders {
 public:
  /// The daemons that share the leafs. Only holders receive callers' requests
  /// and peers' queries, so only they share connections and the retry budget.
  struct Fleet {
    std::vector<DaemonEntry> holders;
    /// Number of holders by region; always includes this daemon.
    std::map<std::string, std::size_t> by_region;
    /// Whether any daemon is registered, as far as this one has heard. Without
    /// the store and peers it knows none.
    bool is_known = false;
    /// The other holders.
    std::vector<RelayPeer> peers;

    std::set<Endpoint> PeerAddresses() const;
  };

  /// What an address query depends on beside the daemons.
  struct OwnState {
    bool is_cut_off = false;
    bool is_stopping = false;
    /// Whether new requests are served, also while the daemon stops.
    bool accepts_requests = true;
    bool is_ready = false;
  };

  explicit RelayHolders(DaemonEntry self) : m_self(std::move(self)) {}

  void SetDaemons(std::vector<DaemonEntry> daemons) {
    m_daemons = std::move(daemons);
  }
  const std::vector<DaemonEntry>& Daemons() const { return m_daemons; }
  HolderRole& Role() { return m_role; }
  const HolderRole& Role() const { return m_role; }

  /// Updates the role of this daemon. `holder_count`: how many the leafs'
  /// connections allow.
  Fleet Update(std::size_t holder_count);
  /// The peer through which this daemon follows the store; empty if it watches
  /// the store itself.
  std::optional<Endpoint> WatchSourceIn(const Fleet& fleet) const;
  /// The addresses for callers in `caller_region`.
  std::vector<Endpoint> AddressesFor(
      const std::string& caller_region,
      std::size_t holder_count,
      const std::set<std::string>& serving_regions,
      const OwnState& own) const;

 private:
  bool IsSelf(const DaemonEntry& daemon) const {
    return daemon.peer == m_self.peer;
  }
  bool IsRegistered() const;

  DaemonEntry m_self;
  std::vector<DaemonEntry> m_daemons;
  HolderRole m_role;
};

}  // namespace bramleyspoke
