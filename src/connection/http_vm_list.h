#pragma once

#include <memory>

#include "base/endpoint.h"
#include "connection/vm_list.h"

namespace bramleyspoke {

class EventLoop;

/// `VmList` over GET /vms.
class HttpVmList : public VmList {
 public:
  /// Used on the loop's thread. Destroy it there too; pending callbacks are
  /// then dropped.
  static std::unique_ptr<HttpVmList> Create(EventLoop& loop,
                                            const Endpoint& server);
};

}  // namespace bramleyspoke
