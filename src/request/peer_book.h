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

/// Another daemon that can ask leafs for us.
struct RelayPeer {
  Endpoint address;
  std::string region;
  std::string failure_domain;

  bool operator==(const RelayPeer&) const = default;
};

/// Where a peer is sought that is nearer to some leafs.
struct PeerPlace {
  std::string region;
  /// Empty: anywhere in the region.
  std::string failure_domain;

  bool Has(const RelayPeer& peer) const;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads <=>.
  auto operator<=>(const PeerPlace&) const = default;
};

/// What is known of one peer from the queries it was sent.
struct PeerState {
  RelayPeer peer;
  LeafLoad load;
};

/// Peers, and which one to ask.
class PeerBook {
 public:
  /// Ways there and back that are assumed before the first answer.
  static constexpr Duration kFarRoundTrip = std::chrono::milliseconds(40);
  static constexpr Duration kNearRoundTrip = std::chrono::milliseconds(3);

  explicit PeerBook(std::string region) : m_region(std::move(region)) {}

  void SetPeers(const std::vector<RelayPeer>& peers);
  /// A peer that can be asked; null if there is none.
  std::shared_ptr<PeerState> Choose(const PeerPlace& place, TimePoint now);

 private:
  std::string m_region;
  std::map<Endpoint, std::shared_ptr<PeerState>> m_peers;
  std::shared_ptr<FleetPatterns> m_fleet = std::make_shared<FleetPatterns>();
  std::size_t m_turn = 0;
};

}  // namespace bramleyspoke
