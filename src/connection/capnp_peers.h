#pragma once

#include <memory>

#include "base/endpoint.h"
#include "base/result.h"
#include "connection/peer.h"

namespace bramleyspoke {

/// Peer calls over Cap'n Proto RPC: server and client on one thread of their
/// own.
///
/// `handler` is called on that thread, and so are the client's callbacks.
class CapnpPeers {
 public:
  /// Binds `listen` (port 0: any); fails when it can't. Call `Start` to serve.
  static Result<std::unique_ptr<CapnpPeers>> Create(const Endpoint& listen,
                                                    PeerHandler& handler);
  virtual ~CapnpPeers() = default;

  /// Begins to accept calls.
  virtual void Start() = 0;
  /// Ends all calls, open ones included, and joins the thread.
  virtual void Stop() = 0;
  virtual Endpoint Address() const = 0;
  /// The client side; any thread may call it until `Stop`.
  virtual PeerNetwork& Network() = 0;
};

}  // namespace bramleyspoke
