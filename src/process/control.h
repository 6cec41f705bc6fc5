#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"
#include "connection/config_store.h"
#include "connection/peer.h"
#include "connection/vm_list.h"
#include "process/control_runtime.h"
#include "version/routing_table.h"

namespace bramleyspoke {

/// What control needs to know of the daemon, and how often it acts.
struct ControlOptions {
  DaemonAddress self;
  /// Peer endpoints of daemons that are asked first.
  std::vector<Endpoint> seeds;
  /// Seed of random choices; differs between daemons.
  std::uint64_t seed = 1;
  /// Heartbeat of the control thread.
  Duration tick = std::chrono::milliseconds(100);
  /// A gap between two heartbeats from which on the process was paused.
  Duration pause_gap = std::chrono::seconds(2);
  /// One member is probed in each.
  Duration probe_interval = std::chrono::seconds(1);
  /// A suspect that doesn't refute is dead after this.
  Duration suspicion_timeout = std::chrono::seconds(5);
  Duration vm_list_interval = std::chrono::seconds(30);
  /// Without confirmation by the store for longer, the generation counts as
  /// unconfirmed.
  Duration confirmation_limit = std::chrono::seconds(60);
};

/// Takes what control learns; called on the control thread.
class ControlListener : public RoutingTableListener {
 public:
  /// Crash evidence from another daemon.
  virtual void OnEvidence(const EvidenceNotice& evidence) = 0;
  /// A leaf's drain word from another daemon.
  virtual void OnDrain(const DrainNotice& drain) = 0;
  /// Control is alive, and up to date since a start or a pause.
  virtual void OnHeartbeat(TimePoint now) = 0;
  /// How long ago the store confirmed the generation; told at each heartbeat.
  virtual void OnManifestAge(Duration /*age*/) {}
};

/// Membership, manifest and holder sets: one actor owns all of it.
///
/// Every method may be called from any thread. A daemon's `PeerHandler` hands
/// gossip, indirect pings and part fetches to the methods of the same name.
class Control {
 public:
  /// The references must outlive the object.
  static Result<std::unique_ptr<Control>> Create(ControlOptions options,
                                                 ControlRuntime& runtime,
                                                 ConfigStore& store,
                                                 VmList& vm_list,
                                                 PeerNetwork& peers,
                                                 ControlListener& listener);
  virtual ~Control() = default;

  virtual void Start() = 0;
  /// Ends the actor; later calls and callbacks change nothing.
  virtual void Stop() = 0;
  /// Tells the members that this daemon goes; it takes part until `Stop`.
  virtual void BeginLeaving() = 0;
  /// Crash evidence found here, for the other holders of the service.
  virtual void NoteEvidence(EvidenceNotice evidence) = 0;
  /// Drain word heard here, for the other holders of the leaf's services.
  virtual void NoteDrain(DrainNotice drain) = 0;
  /// The whole state as a JSON object.
  virtual void DumpJson(std::function<void(std::string)> done) = 0;

  virtual void OnGossip(GossipMessage message,
                        std::function<void(GossipMessage)> reply) = 0;
  virtual void OnPingVia(const Endpoint& target,
                         std::function<void(bool)> reply) = 0;
  virtual void OnFetchParts(
      std::vector<std::string> hashes,
      std::function<void(std::vector<std::string>)> reply) = 0;
};

}  // namespace bramleyspoke
