#pragma once

#include <functional>
#include <string>
#include <vector>

#include "connection/peer.h"

namespace bramleyspoke {

/// The peer calls that a relaying daemon answers: gossip, shard queries and
/// fetches of store contents. The calls of the own interface get no response.
class RelayPeerHandler : public PeerHandler {
 public:
  void OnPingVia(const Endpoint& /*target*/,
                 std::function<void(bool)> /*reply*/) override {}
  void OnForward(std::string /*body*/,
                 Duration /*time_left*/,
                 std::function<void(ForwardReply)> /*reply*/) override {}
  void OnFetchParts(
      std::vector<std::string> /*hashes*/,
      std::function<void(std::vector<std::string>)> /*reply*/) override {}
};

}  // namespace bramleyspoke
