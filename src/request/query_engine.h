#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/backend_server.h"
#include "request/engine_counters.h"
#include "request/engine_options.h"
#include "request/search.h"
#include "version/routing_table.h"

namespace bramleyspoke {

/// Number of a query, given by whoever submits it; unique in the process.
using QueryNumber = std::uint64_t;

struct SendAction {
  Endpoint leaf;
  Attempt attempt;
};

struct CancelAction {
  Endpoint leaf;
  std::string attempt_id;
};

struct FinishAction {
  QueryNumber query = 0;
  SearchOutcome outcome;
};

/// What is to be done after an event, in this order.
struct EngineActions {
  std::vector<SendAction> sends;
  std::vector<CancelAction> cancels;
  std::vector<FinishAction> finishes;
};

/// Fingerprint of a request that crashed leafs, for the peers.
struct CrashEvidence {
  std::uint64_t fingerprint = 0;
  /// Crashes seen since the last notice; receivers add them up.
  std::uint32_t crashes = 0;
};

/// All decisions about one service's queries, on one traffic thread.
///
/// Pure: takes events with the time, returns actions; reads no clock and no
/// socket.
class QueryEngine {
 public:
  /// `attempt_prefix` makes attempt ids unique over all daemons.
  static std::unique_ptr<QueryEngine> Create(
      std::shared_ptr<const ServiceRoute> route,
      std::string attempt_prefix,
      std::uint64_t seed,
      EngineOptions options = {});
  virtual ~QueryEngine() = default;

  /// Every query submitted gets exactly one `FinishAction`.
  virtual EngineActions Submit(QueryNumber query,
                               SearchRequest request,
                               TimePoint now) = 0;
  virtual EngineActions OnAttempt(const std::string& attempt_id,
                                  AttemptOutcome outcome,
                                  TimePoint now) = 0;
  virtual EngineActions OnLeafStatus(const Endpoint& leaf,
                                     std::optional<LeafStatus> status,
                                     TimePoint now) = 0;
  virtual EngineActions OnRoute(std::shared_ptr<const ServiceRoute> route,
                                TimePoint now) = 0;
  /// Ends an idempotent query; another one goes on, so that its outcome is
  /// known when the caller sends it again.
  virtual EngineActions OnCallerGone(QueryNumber query, TimePoint now) = 0;
  virtual EngineActions OnPeerEvidence(const CrashEvidence& evidence,
                                       TimePoint now) = 0;
  virtual EngineActions OnPeerDrain(const DrainNotice& notice,
                                    TimePoint now) = 0;
  virtual EngineActions OnTimer(TimePoint now) = 0;

  /// Whether queries wait for the leafs' status.
  virtual bool WantsStatus() const = 0;
  /// When `OnTimer` is due next.
  virtual std::optional<TimePoint> NextTimer() const = 0;
  /// Crash evidence found here since the last call.
  virtual std::vector<CrashEvidence> TakeEvidence() = 0;
  /// Drain words heard from leafs since the last call.
  virtual std::vector<DrainNotice> TakeDrains() = 0;
  virtual const EngineCounters& Counters() const = 0;
  /// Queries neither finished nor refused yet.
  virtual std::size_t InFlight() const = 0;
  /// Attempts that wait for a slot.
  virtual std::size_t Waiting() const = 0;
  /// The whole state as a JSON object.
  virtual std::string DumpJson(TimePoint now) const = 0;
};

}  // namespace bramleyspoke
