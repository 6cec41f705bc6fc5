#pragma once

#include <memory>

#include "base/result.h"
#include "stand_in/faulty_server.h"

namespace bramleyspoke {
class EventLoop;
}

namespace bramleyspoke::StandIn {

/// The platform's list of VMs: GET /vms, PUT /vms, POST /fault.
class VmListServer {
 public:
  /// A list that was put shows `lag` later; `loop` must outlive the server.
  static Result<std::unique_ptr<VmListServer>> Create(EventLoop& loop,
                                                      ServicePorts ports,
                                                      Duration lag);
  virtual ~VmListServer() = default;

  virtual Endpoint Address() const = 0;
  virtual Endpoint Control() const = 0;
  /// On the loop's thread.
  virtual void Apply(const CallFault& fault) = 0;
};

}  // namespace bramleyspoke::StandIn
