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
  /// Calls go to the first of `servers` that accepts a connection; each call
  /// ends within `call_timeout`. The store must be used and destroyed on the
  /// loop's thread, where callbacks run; destroying it discards pending ones.
  static std::unique_ptr<EtcdStore> Create(EventLoop& loop,
                                           std::vector<Endpoint> servers,
                                           Duration call_timeout);
};

}  // namespace bramleyspoke
