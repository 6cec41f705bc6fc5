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

/// Takes routes from peers that have a newer version than this daemon.
///
/// The store may have gone back to an older copy of itself, or reject this
/// daemon, while peers have the newest version. Used on the loop's thread only.
class PeerRoutes {
 public:
  /// Timeout of one call.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(800);

  /// `on_routes` gets routes as stored; it calls `SetVersion` if it accepts
  /// them.
  PeerRoutes(EventLoop& loop,
             PeerNetwork& peers,
             MemberUpdate self,
             std::function<void(const std::string& routes)> on_routes);
  ~PeerRoutes();

  /// Asks each of `peers` for the version of its routes. Routes are fetched
  /// only once this daemon has a version, which it mostly gets from the store.
  void Ask(const std::vector<Endpoint>& peers);
  /// Sets the version of the routes in use here.
  void SetVersion(std::uint64_t version);

 private:
  void OnVersion(const Endpoint& peer, std::uint64_t version);
  void FetchNewest();
  void OnKnowledge(const Endpoint& peer,
                   const std::optional<StoreKnowledge>& reply);

  EventLoop& m_loop;
  PeerNetwork& m_peers;
  MemberUpdate m_self;
  std::function<void(const std::string& routes)> m_on_routes;
  std::uint64_t m_version = 0;
  /// Versions of peers that were newer when they were received.
  std::map<Endpoint, std::uint64_t> m_offers;
  bool m_is_fetching = false;
  std::shared_ptr<PeerRoutes*> m_alive;
};

}  // namespace bramleyspoke
