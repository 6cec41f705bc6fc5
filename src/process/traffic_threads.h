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

/// Takes what traffic finds out for other daemons; from any thread.
class NoticeListener {
 public:
  virtual ~NoticeListener() = default;
  virtual void OnLocalEvidence(EvidenceNotice evidence) = 0;
  virtual void OnLocalDrain(DrainNotice drain) = 0;
  /// What a service holds at the moment; told several times a second.
  virtual void OnServiceLoad(const ServiceObservation& load) = 0;
  /// Open connections to leafs, of all traffic threads.
  virtual void OnLeafConnections(std::uint64_t open) = 0;
};

struct TrafficOptions {
  std::size_t threads = 2;
  /// Unique to the process; attempt ids begin with it.
  std::string attempt_prefix;
  std::uint64_t seed = 0;
  EngineOptions engine_options;
};

/// The threads that talk to leafs; each service belongs to one of them.
class TrafficThreads : public SearchExecutor {
 public:
  /// The references must outlive the object.
  static std::unique_ptr<TrafficThreads> Create(TrafficOptions options,
                                                EventLoop& front,
                                                const Clock& clock,
                                                const FreshnessLease& lease,
                                                NoticeListener& listener);

  /// From any thread.
  virtual void SetTable(std::shared_ptr<const RoutingTable> table) = 0;
  virtual void TakeEvidence(const EvidenceNotice& evidence) = 0;
  virtual void TakeDrain(const DrainNotice& drain) = 0;
  /// One JSON object a thread; `done` is called on some traffic thread.
  virtual void DumpJson(std::function<void(std::vector<std::string>)> done) = 0;
  /// Ends the threads; unfinished queries are dropped.
  virtual void Stop() = 0;
};

}  // namespace bramleyspoke
