#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "request/admission.h"
#include "request/crash_guard.h"
#include "request/extra_load_budget.h"
#include "request/hedge_policy.h"
#include "request/latency_histogram.h"
#include "request/layout_plan.h"
#include "request/query.h"
#include "request/query_engine.h"
#include "request/replica_chooser.h"
#include "request/replica_table.h"
#include "request/timer_queue.h"

namespace bramleyspoke {

/// Fans each query out over all shards of one snapshot.
///
/// An event handler changes tasks and records which queries changed. Queries
/// are finished only at the end of the event, in `ProcessChangedQueries`, so
/// that no handler holds a reference to a deleted query.
class FanOutEngine final : public QueryEngine {
 public:
  FanOutEngine(std::shared_ptr<const ServiceRoute> route,
               std::string attempt_prefix,
               std::uint64_t seed,
               EngineOptions options);

  EngineActions Submit(QueryNumber query,
                       SearchRequest request,
                       TimePoint now) override;
  EngineActions OnAttempt(const std::string& attempt_id,
                          AttemptOutcome outcome,
                          TimePoint now) override;
  EngineActions OnLeafStatus(const Endpoint& leaf,
                             std::optional<LeafStatus> status,
                             TimePoint now) override;
  EngineActions OnRoute(std::shared_ptr<const ServiceRoute> route,
                        TimePoint now) override;
  EngineActions OnCallerDisconnected(QueryNumber query, TimePoint now) override;
  EngineActions OnPeerEvidence(const CrashEvidence& evidence,
                               TimePoint now) override;
  EngineActions OnPeerDrain(const DrainNotice& notice, TimePoint now) override;
  EngineActions OnTimer(TimePoint now) override;

  bool WantsStatus() const override { return !m_awaiting_snapshot.empty(); }
  std::optional<TimePoint> NextTimer() const override;
  std::vector<CrashEvidence> TakeEvidence() override;
  std::vector<DrainNotice> TakeDrains() override;
  const EngineCounters& Counters() const override { return m_counters; }
  std::size_t InFlight() const override { return m_queries.size(); }
  std::size_t Waiting() const override { return m_waiting_tasks; }
  std::string DumpJson(TimePoint now) const override;

 private:
  struct AttemptRecord {
    QueryNumber query = 0;
    std::uint32_t epoch = 0;
    std::uint32_t ordinal = 0;
    std::uint32_t shard = 0;
    std::uint64_t version = 0;
    std::uint64_t fingerprint = 0;
    LeafIndex leaf = 0;
    /// Last known incarnation of the leaf when the attempt was sent.
    std::string incarnation;
    TimePoint sent;
    std::optional<CanaryId> canary;
    bool is_hedge = false;
    bool is_cancelled = false;
  };

  // Event handling.
  void BeginEvent(TimePoint now);
  EngineActions EndEvent();
  void RunTimer(const QueryTimer& timer);
  void AddTimer(TimePoint at, const Query& query, TimerKind kind);
  void ApplyRoute(std::shared_ptr<const ServiceRoute> route, bool is_first);
  void RemoveUnusedPlans();
  void OnLeafChanged(LeafIndex leaf);
  void OnLeafDraining(LeafIndex leaf, const std::string& incarnation);

  // Starting queries and scheduling their tasks.
  Query* FindQuery(QueryNumber number);
  const std::optional<Snapshot>& CurrentSnapshot();
  void StartQuery(Query& query);
  bool IsSnapshotSettled();
  void StartQueriesAwaitingSnapshot();
  void StartOnSnapshot(Query& query, const Snapshot& snapshot);
  void EndHold(Query& query);
  void ReleaseTasks(Query& query);
  void ScheduleTask(Query& query, std::uint32_t ordinal);
  void DispatchWaiting(ShardPlan& shard);
  void DispatchWaitingForLeaf(LeafIndex leaf);
  void SendAttempt(Query& query,
                   std::uint32_t ordinal,
                   std::uint32_t replica,
                   bool is_hedge);
  Attempt MakeAttempt(const Query& query,
                      const ShardPlan& shard,
                      AttemptNumber number) const;
  ChoiceQuery ChoiceFor(const Query& query, const ShardTask& task) const;
  void OnNoReplica(Query& query, std::uint32_t ordinal);
  bool CanRestart(const Query& query);
  void BackOff(Query& query, ShardTask& task, Duration backoff);
  bool MayAwaitVersion(const Query& query, Duration backoff);
  bool CanBackOff(const Query& query, const ShardPlan& shard) const;
  void MarkMissing(Query& query, ShardTask& task);
  void RunRetries(Query& query);

  // Handling of attempt outcomes.
  void ObserveLeaf(const AttemptRecord& record, const AttemptOutcome& outcome);
  void ObserveResult(const AttemptRecord& record,
                     const AttemptOutcome& outcome);
  void ObserveLatency(LeafRecord& leaf, Duration latency);
  void ObserveCrash(const AttemptRecord& record, const AttemptOutcome& outcome);
  void ApplyOutcome(Query& query,
                    AttemptNumber number,
                    const AttemptRecord& record,
                    AttemptOutcome outcome);
  void AcceptAnswer(Query& query,
                    const AttemptRecord& record,
                    AttemptOutcome outcome);
  void MergeHits(Query& query, std::vector<Hit> hits);
  void RetryTask(Query& query, std::uint32_t ordinal, Verdict verdict);
  void CancelRunning(ShardTask& task);

  // Hedges and canaries.
  void RunHedges(Query& query);
  bool TryHedge(Query& query, std::uint32_t ordinal);
  bool IsOverloaded() const;
  void ReviewHeldQueries(std::uint64_t fingerprint);
  void LaunchCanary(Query& query);
  std::optional<std::uint32_t> PickCanaryTask(Query& query);
  void RunCanary(Query& query);
  void HedgeCanaries(Query& query);

  // Finishing and restarting queries.
  void RefuseQuery(Query& query,
                   RefusalReason reason,
                   std::string detail,
                   std::optional<Duration> retry_after = std::nullopt);
  void ProcessChangedQueries();
  void ReleaseResources(Query& query);
  void Restart(Query& query);
  void Finish(Query& query);
  SearchOutcome MakeOutcome(Query& query);
  PendingRefusal RefusalFor(const Query& query) const;

  std::shared_ptr<const ServiceRoute> m_route;
  std::string m_attempt_prefix;
  EngineOptions m_options;
  std::uint32_t m_slot_share = 1;

  ReplicaTable m_replica_table;
  /// Plans of the current route.
  std::vector<std::shared_ptr<LayoutPlan>> m_plans;
  /// Plans of former routes that queries still run on.
  std::vector<std::shared_ptr<LayoutPlan>> m_old_plans;
  std::optional<Snapshot> m_snapshot;
  bool m_is_snapshot_stale = true;

  ReplicaChooser m_chooser;
  LatencyHistogram m_latencies;
  HedgePolicy m_hedges;
  ExtraLoadBudget m_budget;
  Admission m_admission;
  CrashGuard m_guard;

  std::unordered_map<QueryNumber, std::unique_ptr<Query>> m_queries;
  std::unordered_map<AttemptNumber, AttemptRecord> m_attempts;
  /// Queries that wait until a snapshot can be chosen.
  std::vector<QueryNumber> m_awaiting_snapshot;
  /// Queries whose tasks are held until a canary is answered, by fingerprint.
  std::unordered_map<std::uint64_t, std::vector<QueryNumber>>
      m_held_by_fingerprint;
  TimerQueue m_deadlines;
  TimerQueue m_timers;
  std::vector<DrainNotice> m_new_drains;
  EngineCounters m_counters;
  AttemptNumber m_last_attempt = 0;
  std::uint64_t m_last_sequence = 0;
  std::size_t m_waiting_tasks = 0;
  std::size_t m_held_queries = 0;
  /// Bytes of hits held by queries in flight.
  std::size_t m_held_bytes = 0;

  // State of the event being handled.
  TimePoint m_now;
  EngineActions m_actions;
  std::vector<QueryNumber> m_changed_queries;
};

}  // namespace bramleyspoke
