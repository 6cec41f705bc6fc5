#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "connection/key_value_store.h"
#include "process/seed_reader.h"
#include "process/store_schema.h"

namespace bramleyspoke {

class EventLoop;

/// What control tells traffic; on the control loop.
class RelayControlListener {
 public:
  virtual ~RelayControlListener() = default;
  virtual void OnTable(std::shared_ptr<const RouteTable> table) = 0;
  virtual void OnLeafs(std::vector<LeafRegistration> leafs) = 0;
  virtual void OnDaemons(std::vector<DaemonEntry> daemons) = 0;
  /// Whether the store answers.
  virtual void OnStore(bool is_reachable) = 0;
};

/// Who this daemon is.
struct RelayIdentity {
  std::string name;
  DaemonEntry entry;
};

/// Keeps up with the store: routes, leafs and daemons; registers this daemon.
///
/// Runs on one loop of its own; the listener hands on what it hears.
class RelayControl {
 public:
  static std::unique_ptr<RelayControl> Create(EventLoop& loop,
                                              KeyValueStore& store,
                                              const StoreSchema& schema,
                                              const RelayIdentity& identity,
                                              std::unique_ptr<SeedReader> seeds,
                                              RelayControlListener& listener);
  virtual ~RelayControl() = default;

  virtual void Start() = 0;
  /// Whether callers are told of this daemon; on the control loop.
  virtual void SetServing(bool is_serving) = 0;
  /// What this daemon knows, for another one; on the control loop.
  virtual StoreKnowledge Knowledge() const = 0;
  /// Takes this daemon out of the others' sight.
  virtual void BeginLeaving() = 0;
};

}  // namespace bramleyspoke
