#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "connection/peer.h"
#include "process/search_router.h"

namespace bramleyspoke {

/// Peer network that records forwards; the test completes them with `done`.
class FakePeers : public PeerNetwork {
 public:
  struct Call {
    Endpoint peer;
    Duration timeout;
    std::function<void(ForwardOutcome)> done;
  };

  void Gossip(const Endpoint&,
              const GossipMessage&,
              Duration,
              std::function<void(std::optional<GossipMessage>)>) override {}
  void PingVia(const Endpoint&,
               const Endpoint&,
               Duration,
               std::function<void(bool)>) override {}
  void Forward(const Endpoint& peer,
               const std::string&,
               Duration timeout,
               std::function<void(ForwardOutcome)> done) override {
    calls.push_back(Call{peer, timeout, std::move(done)});
  }
  void FetchParts(
      const Endpoint&,
      const std::vector<std::string>&,
      Duration,
      std::function<void(std::optional<std::vector<std::string>>)>) override {}

  std::vector<Call> calls;
};

class NullObserver final : public RequestObserver {
 public:
  void OnRequestEnd(const CallerSearch&, const RequestEnd&) override {}
};

}  // namespace bramleyspoke
