#pragma once

#include <memory>

#include "base/result.h"
#include "stand_in/faulty_server.h"

namespace bramleyspoke {
class EventLoop;
}

namespace bramleyspoke::StandIn {

/// The calls of etcd's v3 JSON gateway that the product uses (range, put, txn,
/// watch), on keys in memory; and GET /calls, POST /fault.
class ConfigStoreServer {
 public:
  /// Listens at once; `loop` must outlive the server.
  static Result<std::unique_ptr<ConfigStoreServer>> Create(EventLoop& loop,
                                                           ServicePorts ports);
  virtual ~ConfigStoreServer() = default;

  virtual Endpoint Address() const = 0;
  virtual Endpoint Control() const = 0;
  /// On the loop's thread.
  virtual void Apply(const CallFault& fault) = 0;
};

}  // namespace bramleyspoke::StandIn
