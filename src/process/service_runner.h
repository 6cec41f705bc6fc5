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

/// What a runner needs of its thread and process; all outlive it.
struct RunnerContext {
  EventLoop& loop;
  BackendServer& backend;
  const Clock& clock;
  const FreshnessLease& lease;
  EngineOptions engine_options;
};

/// Carries out a `QueryEngine`'s actions; on one traffic thread.
class ServiceRunner : public std::enable_shared_from_this<ServiceRunner> {
 public:
  using Done = std::function<void(SearchOutcome)>;

  static std::shared_ptr<ServiceRunner> Create(
      RunnerContext context,
      std::shared_ptr<const ServiceRoute> route,
      std::string attempt_prefix,
      std::uint64_t seed);

  /// Starts asking the leafs for their status.
  void Start();
  void Submit(QueryNumber query, SearchRequest request, Done done);
  void SetRoute(std::shared_ptr<const ServiceRoute> route);
  void CallerGone(QueryNumber query);
  /// What another daemon found out.
  void TakePeerEvidence(const CrashEvidence& evidence);
  void TakePeerDrain(const DrainNotice& drain);

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
  void AskStatus();
  void AskStatusSoon();
  void AskStatusOf(const Endpoint& leaf);

  RunnerContext m_context;
  std::shared_ptr<const ServiceRoute> m_route;
  std::unique_ptr<QueryEngine> m_engine;
  std::unordered_map<QueryNumber, Done> m_waiting;
  std::unique_ptr<Timer> m_timer;
  TimePoint m_timer_at = TimePoint::max();
  std::unique_ptr<Timer> m_status_timer;
  TimePoint m_status_asked_at;
  // Leafs whose status is on its way.
  std::set<Endpoint> m_asked;
};

}  // namespace bramleyspoke
