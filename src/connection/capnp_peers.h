#pragma once

#include <memory>

#include "base/endpoint.h"
#include "base/result.h"
#include "connection/peer.h"

namespace bramleyspoke {

/// Peer calls over Cap'n Proto RPC: a server and a client on a dedicated
/// thread.
///
/// The handler and the client's callbacks are called on that thread.
class CapnpPeers {
 public:
  /// Binds `listen` (port 0: any free port); fails if it cannot be bound. Calls
  /// are accepted after `Start`.
  static Result<std::unique_ptr<CapnpPeers>> Create(const Endpoint& listen,
                                                    PeerHandler& handler);
  virtual ~CapnpPeers() = default;

  /// Starts accepting calls.
  virtual void Start() = 0;
  /// Cancels all calls in flight, without calling the client's callbacks, and
  /// joins the thread.
  virtual void Stop() = 0;
  virtual Endpoint Address() const = 0;
  /// The client, which any thread may call until `Stop`.
  virtual PeerNetwork& Network() = 0;
};

}  // namespace bramleyspoke
