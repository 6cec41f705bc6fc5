#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "connection/key_value_store.h"
#include "connection/peer.h"
#include "process/store_schema.h"

namespace bramleyspoke {

class EventLoop;

/// Receives the state that `RelayControl` reads from the store; called on the
/// control loop.
class RelayControlListener {
 public:
  virtual ~RelayControlListener() = default;
  virtual void OnTable(std::shared_ptr<const RouteTable> table) = 0;
  virtual void OnLeafs(std::vector<LeafRegistration> leafs) = 0;
  virtual void OnDaemons(std::vector<DaemonEntry> daemons) = 0;
  /// Reports a request that any daemon found to crash leafs.
  virtual void OnCrashSuspect(const CrashSuspect& suspect) = 0;
  /// The store was replaced by an older copy of itself.
  virtual void OnStoreEra(const StoreEraChange& change) = 0;
  /// The store has shown that what was reported of it is current.
  virtual void OnStoreConfirmed(TimePoint at) = 0;
  /// Reports whether the calls that follow the store succeed.
  virtual void OnStoreReachability(bool is_reachable) = 0;
};

struct RelayControlOptions {
  /// Name and store entry of this daemon.
  std::string name;
  DaemonEntry entry;
  /// Time within which a change of the store has to be reported.
  Duration apply_bound{0};
  /// Some peers, without this daemon; may be out of date.
  std::vector<Endpoint> seeds;
};

/// Follows routes, leafs, daemons and suspect requests in the store, and
/// registers this daemon.
///
/// Runs on its own loop; the listener must pass events on to other threads.
class RelayControl {
 public:
  static std::unique_ptr<RelayControl> Create(
      EventLoop& loop,
      KeyValueStore& store,
      const StoreSchema& schema,
      const RelayControlOptions& options,
      PeerNetwork& peers,
      RelayControlListener& listener);
  virtual ~RelayControl() = default;

  virtual void Start() = 0;
  /// Sets the timings of store calls for a holder or a standby, once this has
  /// not changed for some time; called on the control loop. A daemon begins as
  /// a standby.
  virtual void SetIsHolder(bool is_holder) = 0;
  /// Tells other daemons through the store whether this one reaches leafs;
  /// called on the control loop.
  virtual void SetCutOff(bool is_cut_off) = 0;
  /// Has the store asked whether what was reported of it is current; called on
  /// the control loop.
  virtual void CheckStore() = 0;
  /// A peer that the store is available to has newer routes; called on the
  /// control loop.
  virtual void OnNewerRoutesAtPeer(const Endpoint& peer,
                                   std::uint64_t version) = 0;
  /// Writes a request that this daemon found to crash leafs to the store;
  /// called on the control loop.
  virtual void AddCrashSuspect(const CrashSuspect& suspect) = 0;
  /// Routes, leafs, daemons and suspect requests known here, for a peer that
  /// starts while the store is unreachable; called on the control loop.
  virtual StoreKnowledge Knowledge() const = 0;
  /// Removes this daemon's entry from the store.
  virtual void BeginLeaving() = 0;
};

}  // namespace bramleyspoke
