#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "request/leaf_load.h"

namespace bramleyspoke {

/// Another daemon, to which shards can be delegated.
struct RelayPeer {
  Endpoint address;
  std::string region;
  std::string failure_domain;
  /// Whether the peer has said in the store that it reaches no leafs.
  bool is_cut_off = false;

  bool operator==(const RelayPeer&) const = default;
};

/// The area in which to look for a peer that is nearer to some leafs.
struct PeerLocation {
  /// Empty for any region.
  std::string region;
  /// Empty for anywhere in the region.
  std::string failure_domain;

  bool Contains(const RelayPeer& peer) const;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads <=>.
  auto operator<=>(const PeerLocation&) const = default;
};

/// A peer, and its load as estimated from the queries delegated to it.
struct PeerState {
  RelayPeer peer;
  LeafLoad load;
  /// Until when the peer gets no queries after it has answered that it reaches
  /// no leafs.
  TimePoint cut_off_until = {};
  /// Until when an overdue peer gets no parts that another one could get.
  TimePoint overdue_until = {};
  /// Services of which the peer reached no leaf, and until when it gets no
  /// parts of them handed over.
  std::map<std::string, TimePoint> unreachable_services = {};

  /// Takes the peer's new entry; false if it is another daemon's.
  bool Update(const RelayPeer& entry);
  bool Reaches(const std::string& service, TimePoint now) const;
  bool IsCutOff(TimePoint now) const {
    return peer.is_cut_off || now < cut_off_until;
  }
};

/// The peers considered in a choice.
enum class PeerFilter {
  /// Those that answer promptly.
  kPrompt,
  /// All that reach leafs, as far as is known.
  kInContact,
};

/// The known peers, and the choice of one for a delegation.
class PeerTable {
 public:
  /// Round-trip times assumed before the first response.
  static constexpr Duration kFarRoundTrip = std::chrono::milliseconds(40);
  static constexpr Duration kNearRoundTrip = std::chrono::milliseconds(3);

  explicit PeerTable(std::string region) : m_region(std::move(region)) {}

  void SetPeers(const std::vector<RelayPeer>& peers);
  /// Whether any peer can be reached and reaches leafs, as far as is known.
  bool IsAnyInContact(TimePoint now) const;
  /// A peer in `location`, which reaches `service` if one is given; null if
  /// there is none.
  std::shared_ptr<PeerState> Choose(const PeerLocation& location,
                                    TimePoint now,
                                    const std::string& service = {},
                                    PeerFilter filter = PeerFilter::kPrompt);

 private:
  std::string m_region;
  std::map<Endpoint, std::shared_ptr<PeerState>> m_peers;
  std::shared_ptr<FleetStatistics> m_fleet =
      std::make_shared<FleetStatistics>();
  std::size_t m_next_index = 0;
};

}  // namespace bramleyspoke
