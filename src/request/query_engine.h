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

/// Number of a query, assigned by the submitter; unique in the process.
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

/// Actions that the engine's owner performs after an event, in this order.
struct EngineActions {
  std::vector<SendAction> sends;
  std::vector<CancelAction> cancels;
  std::vector<FinishAction> finishes;
};

/// Crashes attributed to a request, as reported to other daemons.
struct CrashEvidence {
  std::uint64_t fingerprint = 0;
  /// Crashes since the last report; receivers add them up.
  std::uint32_t crashes = 0;
};

/// Executes the queries of one service on one traffic thread.
///
/// The engine does no I/O and reads no clock: each event carries the current
/// time and returns the actions to perform.
class QueryEngine {
 public:
  /// `attempt_prefix` must be unique among all engines of all daemons.
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
  /// The caller disconnected. An idempotent query is cancelled; a
  /// non-idempotent one continues, so that its outcome is known when the caller
  /// sends it again.
  virtual EngineActions OnCallerDisconnected(QueryNumber query,
                                             TimePoint now) = 0;
  virtual EngineActions OnPeerEvidence(const CrashEvidence& evidence,
                                       TimePoint now) = 0;
  virtual EngineActions OnPeerDrain(const DrainNotice& notice,
                                    TimePoint now) = 0;
  virtual EngineActions OnTimer(TimePoint now) = 0;

  /// Whether queries wait for a status report of a leaf.
  virtual bool WantsStatus() const = 0;
  /// Time at which `OnTimer` is due next.
  virtual std::optional<TimePoint> NextTimer() const = 0;
  /// Crash evidence that this engine found since the last call.
  virtual std::vector<CrashEvidence> TakeEvidence() = 0;
  /// Drain notices received from leafs since the last call.
  virtual std::vector<DrainNotice> TakeDrains() = 0;
  virtual const EngineCounters& Counters() const = 0;
  /// Number of queries neither answered nor refused yet.
  virtual std::size_t InFlight() const = 0;
  /// Number of shard tasks that wait for a slot.
  virtual std::size_t Waiting() const = 0;
  /// State of the engine as a JSON object.
  virtual std::string DumpJson(TimePoint now) const = 0;
};

}  // namespace bramleyspoke
