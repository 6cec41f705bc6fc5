#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "request/leaf_load.h"

namespace bramleyspoke {

/// Another daemon that can ask leafs for us.
struct RelayPeer {
  Endpoint address;
  std::string region;

  bool operator==(const RelayPeer&) const = default;
};

/// What is known of one peer from the queries it was sent.
struct PeerState {
  RelayPeer peer;
  LeafLoad load;
};

/// Peers by region, and which one to ask.
class PeerBook {
 public:
  /// Way there and back that is assumed before the first answer.
  static constexpr Duration kPriorRoundTrip = std::chrono::milliseconds(40);

  void SetPeers(const std::vector<RelayPeer>& peers);
  /// A peer of `region` that can be asked; null if there is none.
  std::shared_ptr<PeerState> Choose(const std::string& region, TimePoint now);

 private:
  std::map<Endpoint, std::shared_ptr<PeerState>> m_peers;
  std::shared_ptr<FleetPatterns> m_fleet = std::make_shared<FleetPatterns>();
  std::size_t m_turn = 0;
};

}  // namespace bramleyspoke
