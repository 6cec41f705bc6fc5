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
  /// All calls go to one of `servers` until it accepts no connection, then to
  /// the next in the list. Each call ends within `call_timeout`; an open watch
  /// has no timeout. The store must be used and destroyed on the loop's thread,
  /// where callbacks run. Destroying it discards the pending callbacks of
  /// calls.
  static std::unique_ptr<EtcdStore> Create(EventLoop& loop,
                                           std::vector<Endpoint> servers,
                                           Duration call_timeout);
};

}  // namespace bramleyspoke
