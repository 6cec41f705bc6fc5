#include "process/peer_routes.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "connection/event_loop.h"
#include "process/log.h"

namespace bramleyspoke {

PeerRoutes::PeerRoutes(EventLoop& loop,
                       PeerNetwork& peers,
                       MemberUpdate self,
                       std::function<void(const std::string&)> on_routes)
    : m_loop(loop),
      m_peers(peers),
      m_self(std::move(self)),
      m_on_routes(std::move(on_routes)),
      m_alive(std::make_shared<PeerRoutes*>(this)) {}

PeerRoutes::~PeerRoutes() = default;

// Replies arrive on the peers' thread.
void PeerRoutes::Ask(const std::vector<Endpoint>& peers) {
  GossipMessage message;
  message.sender = m_self;
  message.generation = m_version;
  for (const Endpoint& peer : peers) {
    m_peers.Gossip(peer, message, kCallTimeout,
                   [&loop = m_loop, weak = std::weak_ptr(m_alive),
                    peer](const std::optional<GossipMessage>& reply) {
                     if (!reply) {
                       return;
                     }
                     loop.Post([weak, peer, version = reply->generation] {
                       if (const auto self = weak.lock()) {
                         (*self)->OnVersion(peer, version);
                       }
                     });
                   });
  }
}

void PeerRoutes::SetVersion(std::uint64_t version) {
  m_version = version;
  FetchNewest();
}

void PeerRoutes::OnVersion(const Endpoint& peer, std::uint64_t version) {
  m_offers[peer] = version;
  FetchNewest();
}

void PeerRoutes::FetchNewest() {
  std::erase_if(m_offers, [this](const auto& offer) {
    return offer.second <= m_version;
  });
  if (m_version == 0 || m_offers.empty() || m_is_fetching) {
    return;
  }
  const auto newest = std::max_element(
      m_offers.begin(), m_offers.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  WriteLog(LogLevel::kInfo, "newer_routes_at_peer",
           {Field("peer", ToString(newest->first)),
            Field("version", newest->second), Field("own_version", m_version)});
  m_is_fetching = true;
  m_peers.FetchKnowledge(
      newest->first, kCallTimeout,
      [&loop = m_loop, weak = std::weak_ptr(m_alive),
       peer = newest->first](std::optional<StoreKnowledge> reply) {
        loop.Post([weak, peer, reply = std::move(reply)] {
          if (const auto self = weak.lock()) {
            (*self)->OnKnowledge(peer, reply);
          }
        });
      });
}

// Routes that are not accepted are not fetched again from this peer.
void PeerRoutes::OnKnowledge(const Endpoint& peer,
                             const std::optional<StoreKnowledge>& reply) {
  m_is_fetching = false;
  m_offers.erase(peer);
  if (reply && !reply->routes.empty()) {
    m_on_routes(reply->routes);
  }
  FetchNewest();
}

}  // namespace bramleyspoke
