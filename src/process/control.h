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

/// Identity of the daemon, and intervals and limits of the control thread.
struct ControlOptions {
  DaemonAddress self;
  /// Peer endpoints of the daemons that are contacted first.
  std::vector<Endpoint> seeds;
  /// Seed of the random number generators; differs between daemons.
  std::uint64_t seed = 1;
  /// Interval between two ticks of the control thread.
  Duration tick = std::chrono::milliseconds(100);
  /// Gap between two ticks above which the process counts as paused.
  Duration pause_gap = std::chrono::seconds(2);
  /// Interval between two probes of members.
  Duration probe_interval = std::chrono::seconds(1);
  /// Time after which a suspect that has not refuted the suspicion is declared
  /// dead, in a fleet of up to ten members; grows with the fleet size.
  Duration suspicion_timeout = std::chrono::seconds(5);
  Duration vm_list_interval = std::chrono::seconds(30);
  /// Age of the last confirmation by the store above which the generation
  /// counts as unconfirmed.
  Duration confirmation_limit = std::chrono::seconds(60);
};

/// Receives the results of control; called on the control thread.
class ControlListener : public RoutingTableListener {
 public:
  /// Crash evidence from another daemon.
  virtual void OnEvidence(const EvidenceNotice& evidence) = 0;
  /// Drain notice of a leaf, from another daemon.
  virtual void OnDrain(const DrainNotice& drain) = 0;
  /// Called at each tick unless the manifest is being refreshed after a start
  /// or a pause.
  virtual void OnHeartbeat(TimePoint now) = 0;
  /// Reports at each tick the time since the store confirmed the generation.
  virtual void OnManifestAge(Duration /*age*/) {}
};

/// Actor that owns the membership, the manifest and the holder sets.
///
/// Between `Start` and `Stop`, every other method may be called from any
/// thread. A daemon's `PeerHandler` passes
/// gossip, indirect pings and part fetches to the methods of the same name.
class Control {
 public:
  /// The references must outlive the object.
  static Result<std::unique_ptr<Control>> Create(const ControlOptions& options,
                                                 ControlRuntime& runtime,
                                                 ConfigStore& store,
                                                 VmList& vm_list,
                                                 PeerNetwork& peers,
                                                 ControlListener& listener);
  virtual ~Control() = default;

  virtual void Start() = 0;
  /// Terminates the actor; later calls and callbacks have no effect.
  virtual void Stop() = 0;
  /// Announces that this daemon is leaving; it remains a member until `Stop`.
  virtual void BeginLeaving() = 0;
  /// Sends crash evidence found by this daemon to the service's other holders.
  virtual void PublishEvidence(EvidenceNotice evidence) = 0;
  /// Sends a drain notice that this daemon received to the other holders of the
  /// leaf's services.
  virtual void PublishDrain(DrainNotice drain) = 0;
  /// Passes the whole state to `done` as a JSON object.
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
