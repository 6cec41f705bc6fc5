#pragma once

#include <memory>

#include "base/result.h"
#include "stand_in/faulty_server.h"

namespace bramleyspoke {
class EventLoop;
}

namespace bramleyspoke::StandIn {

/// In-memory config store with the calls of etcd's v3 JSON gateway that
/// Bramleyspoke uses (range, put, txn, watch), and GET /calls and POST /fault.
class ConfigStoreServer {
 public:
  /// The server listens on return; `loop` must outlive it.
  static Result<std::unique_ptr<ConfigStoreServer>> Create(EventLoop& loop,
                                                           ServicePorts ports);
  virtual ~ConfigStoreServer() = default;

  virtual Endpoint Address() const = 0;
  virtual Endpoint Control() const = 0;
  /// Must be called on the loop's thread.
  virtual void Apply(const CallFault& fault) = 0;
};

}  // namespace bramleyspoke::StandIn
