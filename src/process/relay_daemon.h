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

/// What a platform brings; all must outlive the daemon.
struct RelayAdapters {
  const RelayProtocol& protocol;
  const StoreSchema& schema;
  const EntryProtocol& entry;
  std::function<std::unique_ptr<KeyValueStore>(EventLoop&, const Endpoint&)>
      open_store;
};

/// A process that relays callers' requests along routes from a store.
class RelayDaemon {
 public:
  /// Reads the settings anew, after a signal.
  using ReadSettings = std::function<Result<RelaySettings>()>;

  /// Listens at once.
  static Result<std::unique_ptr<RelayDaemon>> Create(
      const RelaySettings& settings,
      const RelayAdapters& adapters,
      ReadSettings read_settings);
  virtual ~RelayDaemon() = default;

  /// Runs until a planned stop is over; false if it cut requests off.
  virtual bool Run() = 0;
};

}  // namespace bramleyspoke
