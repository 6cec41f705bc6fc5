#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "connection/peer.h"
#include "process/metrics.h"
#include "request/engine_options.h"
#include "request/search_executor.h"
#include "version/routing_table.h"

namespace bramleyspoke {

class EventLoop;
class FreshnessLease;

/// Receiver of the traffic threads' notices for other daemons and of their load
/// figures; called from any thread.
class TrafficListener {
 public:
  virtual ~TrafficListener() = default;
  virtual void OnLocalEvidence(EvidenceNotice evidence) = 0;
  virtual void OnLocalDrain(DrainNotice drain) = 0;
  /// Current load of one service; reported several times a second.
  virtual void OnServiceLoad(const ServiceObservation& load) = 0;
  /// Number of open connections to leafs, over all traffic threads.
  virtual void OnLeafConnections(std::uint64_t open) = 0;
};

struct TrafficOptions {
  std::size_t threads = 2;
  /// Prefix of attempt ids; must be unique to the process.
  std::string attempt_prefix;
  std::uint64_t seed = 0;
  EngineOptions engine_options;
};

/// Threads that send attempts to leafs; each service is assigned to one thread.
///
/// All functions except `Stop` may be called from any thread.
class TrafficThreads : public SearchExecutor {
 public:
  /// The references must outlive the object.
  static std::unique_ptr<TrafficThreads> Create(TrafficOptions options,
                                                EventLoop& front,
                                                const Clock& clock,
                                                const FreshnessLease& lease,
                                                TrafficListener& listener);

  virtual void SetTable(std::shared_ptr<const RoutingTable> table) = 0;
  virtual void OnPeerEvidence(const EvidenceNotice& evidence) = 0;
  virtual void OnPeerDrain(const DrainNotice& drain) = 0;
  /// Dumps one JSON object per thread; `done` is called on a traffic thread.
  virtual void DumpJson(std::function<void(std::vector<std::string>)> done) = 0;
  /// Ends the threads; queries in flight are dropped.
  virtual void Stop() = 0;
};

}  // namespace bramleyspoke
