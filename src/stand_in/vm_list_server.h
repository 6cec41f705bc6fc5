#pragma once

#include <memory>

#include "base/result.h"
#include "stand_in/faulty_server.h"

namespace bramleyspoke {
class EventLoop;
}

namespace bramleyspoke::StandIn {

/// Stand-in for the platform's VM list service: GET /vms, PUT /vms, POST
/// /fault.
class VmListServer {
 public:
  /// A list that is put becomes visible after `lag`; `loop` must outlive the
  /// server.
  static Result<std::unique_ptr<VmListServer>> Create(EventLoop& loop,
                                                      ServicePorts ports,
                                                      Duration lag);
  virtual ~VmListServer() = default;

  virtual Endpoint Address() const = 0;
  virtual Endpoint Control() const = 0;
  /// Must be called on the loop's thread.
  virtual void Apply(const CallFault& fault) = 0;
};

}  // namespace bramleyspoke::StandIn
