#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "connection/key_value_store.h"
#include "connection/relay_protocol.h"
#include "process/relay_settings.h"
#include "process/store_schema.h"

namespace bramleyspoke {

class EventLoop;

/// Platform-specific parts of a relaying daemon; all must outlive it.
struct RelayAdapters {
  const RelayProtocol& protocol;
  const StoreSchema& schema;
  const DiscoveryProtocol& entry;
  std::function<std::unique_ptr<KeyValueStore>(EventLoop&, const Endpoint&)>
      open_store;
};

/// A process that relays callers' requests by the routes in a store.
class RelayDaemon {
 public:
  /// Reads the settings again after a reload signal.
  using ReadSettings = std::function<Result<RelaySettings>()>;

  /// Returns a daemon that already listens on all its addresses.
  static Result<std::unique_ptr<RelayDaemon>> Create(
      const RelaySettings& settings,
      const RelayAdapters& adapters,
      ReadSettings read_settings);
  virtual ~RelayDaemon() = default;

  /// Runs until a planned stop ends; returns false if it cut requests off.
  virtual bool Run() = 0;
};

}  // namespace bramleyspoke
