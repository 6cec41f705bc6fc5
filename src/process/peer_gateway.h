#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "connection/peer.h"

namespace bramleyspoke {

class Control;
class EventLoop;
class SearchRouter;

/// Passes calls from other daemons to control and to the router.
///
/// Before `Open`, forwards are refused as not ready, indirect pings fail, part
/// fetches return empty parts, and gossip is not answered.
class PeerGateway final : public PeerHandler {
 public:
  explicit PeerGateway(EventLoop& front) : m_front(front) {}

  /// Starts passing calls on; both objects must outlive all calls.
  void Open(Control& control, SearchRouter& router);

  void OnGossip(GossipMessage message,
                std::function<void(GossipMessage)> reply) override;
  void OnPingVia(const Endpoint& target,
                 std::function<void(bool)> reply) override;
  void OnForward(std::string body,
                 Duration time_left,
                 std::function<void(ForwardReply)> reply) override;
  void OnFetchParts(
      std::vector<std::string> hashes,
      std::function<void(std::vector<std::string>)> reply) override;

 private:
  EventLoop& m_front;
  std::atomic<Control*> m_control = nullptr;
  std::atomic<SearchRouter*> m_router = nullptr;
};

}  // namespace bramleyspoke
