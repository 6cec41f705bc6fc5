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
                       Duration patience,
                       std::function<bool()> ask_store,
                       std::function<void(const StoreKnowledge&)> on_knowledge)
    : m_loop(loop),
      m_peers(peers),
      m_self(std::move(self)),
      m_patience(patience),
      m_ask_store(std::move(ask_store)),
      m_on_knowledge(std::move(on_knowledge)),
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

void PeerRoutes::OnVersionSeen(const Endpoint& peer, std::uint64_t version) {
  m_seen[peer] = version;
  EraseOutdated(m_seen);
  if (!m_seen.empty() && !m_overdue_timer) {
    WaitForStore();
  }
}

void PeerRoutes::WaitForStore() {
  m_overdue_timer = m_loop.At(std::chrono::steady_clock::now() + m_patience,
                              [this] { OnOverdue(); });
}

void PeerRoutes::OnOverdue() {
  m_overdue_timer.reset();
  EraseOutdated(m_seen);
  if (m_seen.empty()) {
    m_is_store_asked = false;
    return;
  }
  if (!m_is_store_asked && m_ask_store()) {
    m_is_store_asked = true;
    WaitForStore();
    return;
  }
  m_is_store_asked = false;
  m_offers.merge(m_seen);
  m_seen.clear();
  FetchNewest();
}

void PeerRoutes::EraseOutdated(Versions& versions) const {
  std::erase_if(versions,
                [this](const auto& row) { return row.second <= m_version; });
}

void PeerRoutes::FetchNewest() {
  EraseOutdated(m_offers);
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
    m_on_knowledge(*reply);
  }
  FetchNewest();
}

}  // namespace bramleyspoke
