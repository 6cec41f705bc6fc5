#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "connection/backend_server.h"
#include "request/engine_options.h"
#include "request/query_engine.h"
#include "request/search.h"
#include "version/routing_table.h"

namespace bramleyspoke {

class EventLoop;
class FreshnessLease;
class Timer;

/// Dependencies of a runner; the referenced objects must outlive it.
struct RunnerContext {
  EventLoop& loop;
  BackendServer& backend;
  const Clock& clock;
  const FreshnessLease& lease;
  EngineOptions engine_options;
};

/// Passes events to the `QueryEngine` of one service and carries out its
/// actions; used on one traffic thread only.
class ServiceRunner : public std::enable_shared_from_this<ServiceRunner> {
 public:
  using Done = std::function<void(SearchOutcome)>;

  /// `attempt_prefix` must be unique over all daemons; attempt ids begin with
  /// it.
  static std::shared_ptr<ServiceRunner> Create(
      RunnerContext context,
      std::shared_ptr<const ServiceRoute> route,
      std::string attempt_prefix,
      std::uint64_t seed);

  /// Starts to fetch the leafs' status periodically.
  void Start();
  /// Calls `done` once, when the query has ended.
  void Submit(QueryNumber query, SearchRequest request, Done done);
  void SetRoute(std::shared_ptr<const ServiceRoute> route);
  void OnCallerDisconnected(QueryNumber query);
  /// Crash evidence and drain notices from other daemons.
  void OnPeerEvidence(const CrashEvidence& evidence);
  void OnPeerDrain(const DrainNotice& drain);

  QueryEngine& Engine() { return *m_engine; }
  const ServiceRoute& Route() const { return *m_route; }

 private:
  ServiceRunner(RunnerContext context,
                std::shared_ptr<const ServiceRoute> route,
                std::unique_ptr<QueryEngine> engine);

  void Apply(EngineActions actions);
  void Send(SendAction action);
  void Finish(FinishAction action);
  void ArmTimer();
  void FetchAllStatuses();
  void MaybeFetchAllStatuses();
  void FetchStatusOf(const Endpoint& leaf);

  RunnerContext m_context;
  std::shared_ptr<const ServiceRoute> m_route;
  std::unique_ptr<QueryEngine> m_engine;
  std::unordered_map<QueryNumber, Done> m_done_callbacks;
  std::unique_ptr<Timer> m_timer;
  TimePoint m_timer_at = TimePoint::max();
  std::unique_ptr<Timer> m_status_timer;
  TimePoint m_statuses_fetched_at;
  // Leafs with an outstanding status request.
  std::set<Endpoint> m_outstanding_statuses;
};

}  // namespace bramleyspoke
