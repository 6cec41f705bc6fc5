#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/peer.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Takes routes from peers that have a newer version than this daemon.
///
/// The store may have gone back to an older copy of itself, or reject this
/// daemon, while peers have the newest version. A version that a peer's message
/// has shown mostly arrives from the store too; only if it does not for some
/// time, the store is asked, and then the peer. Used on the loop's thread only.
class PeerRoutes {
 public:
  /// Timeout of one call.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(800);

  /// `patience` is the time in which a version that a peer has shown should
  /// arrive from the store. After it, `ask_store` reads the store and returns
  /// whether that is available; if it is not, or has no newer version after the
  /// same time again, `on_knowledge` gets what the peer knows. It calls
  /// `SetVersion` if it accepts the routes.
  PeerRoutes(EventLoop& loop,
             PeerNetwork& peers,
             MemberUpdate self,
             Duration patience,
             std::function<bool()> ask_store,
             std::function<void(const StoreKnowledge&)> on_knowledge);
  ~PeerRoutes();

  /// Asks each of `peers` for the version of its routes. Routes are fetched
  /// only once this daemon has a version, which it mostly gets from the store.
  void Ask(const std::vector<Endpoint>& peers);
  /// A peer's message has shown the version of its routes.
  void OnVersionSeen(const Endpoint& peer, std::uint64_t version);
  /// Sets the version of the routes in use here.
  void SetVersion(std::uint64_t version);

 private:
  using Versions = std::map<Endpoint, std::uint64_t>;

  void OnVersion(const Endpoint& peer, std::uint64_t version);
  void EraseOutdated(Versions& versions) const;
  void WaitForStore();
  void OnOverdue();
  void FetchNewest();
  void OnKnowledge(const Endpoint& peer,
                   const std::optional<StoreKnowledge>& reply);

  EventLoop& m_loop;
  PeerNetwork& m_peers;
  MemberUpdate m_self;
  const Duration m_patience;
  std::function<bool()> m_ask_store;
  std::function<void(const StoreKnowledge&)> m_on_knowledge;
  std::uint64_t m_version = 0;
  /// Versions of peers that may be fetched; newer when they were received.
  Versions m_offers;
  bool m_is_fetching = false;
  /// Newer versions of peers that should arrive from the store.
  Versions m_seen;
  bool m_is_store_asked = false;
  /// Set while versions of `m_seen` should arrive.
  std::unique_ptr<Timer> m_overdue_timer;
  std::shared_ptr<PeerRoutes*> m_alive;
};

}  // namespace bramleyspoke
