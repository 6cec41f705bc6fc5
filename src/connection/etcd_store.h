#pragma once

#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/config_store.h"

namespace bramleyspoke {

class EventLoop;

/// `ConfigStore` over etcd's v3 JSON gateway.
class EtcdStore : public ConfigStore {
 public:
  /// Calls go to the first of `servers` that takes a connection; each call
  /// ends within `call_timeout`. Calls are made and answered on the loop's
  /// thread. Destroy it there too; pending callbacks are then dropped.
  static std::unique_ptr<EtcdStore> Create(EventLoop& loop,
                                           std::vector<Endpoint> servers,
                                           Duration call_timeout);
};

}  // namespace bramleyspoke
