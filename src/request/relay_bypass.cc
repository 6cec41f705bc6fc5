// Decides when a part that a peer has may go to leafs from here as well: both
// daemons together must not reach more leafs than the route allows.

#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {

// Entries of leafs that run may be missing for a time, at this daemon or at the
// peer.
bool RelayEngine::AreLeafsSettled(const Part& part, const Route& route) const {
  return part.service->leafs.size() <= route.max_attempts &&
         m_now - part.service->leafs_changed_at >= kLeafSetSettleTime;
}

// A lost peer may have made as many attempts as the route allows. Only if the
// service has no more leafs than that can further attempts by this daemon not
// exceed that number of leafs; the peer has been told so.
bool RelayEngine::MayBypassPeer(const Part& part, const Route& route) const {
  return part.is_peer_bypassable && AreLeafsSettled(part, route);
}

bool RelayEngine::CouldExceedAttempts(const Request& request,
                                      const Part& part) const {
  if (!part.shared_since) {
    return false;
  }
  return part.service->leafs.size() > request.MatchedRoute().max_attempts ||
         part.service->leafs_changed_at > *part.shared_since;
}

}  // namespace bramleyspoke
