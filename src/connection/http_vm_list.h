#pragma once

#include <memory>

#include "base/endpoint.h"
#include "connection/vm_list.h"

namespace bramleyspoke {

class EventLoop;

/// `VmList` over GET /vms.
class HttpVmList : public VmList {
 public:
  /// The list must be used and destroyed on the loop's thread; destroying it
  /// discards pending callbacks.
  static std::unique_ptr<HttpVmList> Create(EventLoop& loop,
                                            const Endpoint& server);
};

}  // namespace bramleyspoke
