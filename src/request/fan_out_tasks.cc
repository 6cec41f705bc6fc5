// Starting queries and scheduling their tasks on replicas.

#include <algorithm>

#include "request/fan_out_engine.h"

namespace bramleyspoke {
namespace {

constexpr Duration kSnapshotWait = std::chrono::milliseconds(200);
constexpr Duration kInitialBackoff = std::chrono::milliseconds(5);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(50);
constexpr std::uint32_t kMaxBackoffDoublings = 4;
// Number of waiting tasks examined when the first finds no free slot: a later
// one may use a replica that the first has already tried.
constexpr std::size_t kDispatchLookahead = 4;

}  // namespace

Query* FanOutEngine::FindQuery(QueryNumber number) {
  const auto found = m_queries.find(number);
  return found == m_queries.end() ? nullptr : found->second.get();
}

const std::optional<Snapshot>& FanOutEngine::CurrentSnapshot() {
  if (m_is_snapshot_stale) {
    m_snapshot = ChooseSnapshot(m_plans, m_replica_table);
    m_is_snapshot_stale = false;
  }
  return m_snapshot;
}

// A daemon that has just become a holder learns the status of its leafs one by
// one, so a query that started after the first would cover a single shard.
// During a version change, the old version may be known to be gone before the
// new one is known on all leafs.
bool FanOutEngine::IsSnapshotSettled() {
  const std::optional<Snapshot>& snapshot = CurrentSnapshot();
  const bool may_improve = m_replica_table.HasLeafWithoutStatus() ||
                           m_replica_table.HasRecentVersionChange(m_now);
  return snapshot && (snapshot->coverage >= 1 || !may_improve);
}

void FanOutEngine::StartQuery(Query& query) {
  if (IsSnapshotSettled()) {
    StartOnSnapshot(query, *CurrentSnapshot());
    return;
  }
  m_awaiting_snapshot.push_back(query.number);
  const TimePoint by = std::min(m_now + kSnapshotWait, query.internal_deadline);
  m_timers.Add({by, query.number, TimerKind::kSnapshot});
}

void FanOutEngine::StartQueriesAwaitingSnapshot() {
  if (m_awaiting_snapshot.empty() || !IsSnapshotSettled()) {
    return;
  }
  const std::vector<QueryNumber> numbers = std::move(m_awaiting_snapshot);
  m_awaiting_snapshot.clear();
  for (const QueryNumber number : numbers) {
    Query* query = FindQuery(number);
    if (query != nullptr && !query->IsOver() && !query->snapshot) {
      StartOnSnapshot(*query, *CurrentSnapshot());
    }
  }
}

void FanOutEngine::StartOnSnapshot(Query& query, const Snapshot& snapshot) {
  const CrashStanding standing =
      m_guard.Standing(query.fingerprint, snapshot.version.number, m_now);
  if (standing == CrashStanding::kSuspect) {
    RefuseQuery(query, RefusalReason::kCrashSuspect,
                "backend servers crashed while running this request");
    return;
  }
  const CurrentLoad load{m_waiting_tasks, m_held_queries, m_slot_share,
                         m_latencies.Mean()};
  const auto retry_after =
      m_admission.Check(*snapshot.plan, load, query.internal_deadline, m_now);
  if (retry_after) {
    RefuseQuery(query, RefusalReason::kOverloaded,
                "the deadline would pass before its turn", *retry_after);
    return;
  }
  const ServiceSpec& spec = query.route->spec;
  const std::size_t shards = snapshot.plan->Shards().size();
  query.snapshot = snapshot;
  query.tasks.assign(shards, ShardTask{});
  query.open_tasks = shards;
  query.merger.emplace(query.request.limit, spec.max_answer_bytes);
  query.coverage.emplace(shards);
  if (m_options.has_canaries && standing == CrashStanding::kUnproven) {
    query.is_held = true;
    ++m_held_queries;
    m_held_by_fingerprint[query.fingerprint].push_back(query.number);
    RunCanary(query);
  } else {
    ReleaseTasks(query);
  }
  m_changed_queries.push_back(query.number);
}

void FanOutEngine::EndHold(Query& query) {
  m_held_queries -= query.is_held ? 1 : 0;
  query.is_held = false;
}

void FanOutEngine::ReleaseTasks(Query& query) {
  EndHold(query);
  for (std::uint32_t ordinal = 0; ordinal < query.tasks.size(); ++ordinal) {
    if (query.tasks[ordinal].state == TaskState::kHeld) {
      ScheduleTask(query, ordinal);
    }
  }
  const std::optional<Duration> delay = m_hedges.Delay();
  if (delay && query.IsIdempotent()) {
    AddTimer(m_now + *delay, query, TimerKind::kHedge);
  }
}

void FanOutEngine::ScheduleTask(Query& query, std::uint32_t ordinal) {
  ShardTask& task = query.tasks[ordinal];
  ShardPlan& shard = query.snapshot->plan->Shards()[ordinal];
  if (query.IsOver()) {
    return;
  }
  task.state = TaskState::kWaiting;
  if (shard.waiting.empty()) {
    const Choice choice =
        m_chooser.Choose(shard, ChoiceFor(query, task), m_now);
    if (choice.kind == ChoiceKind::kReplica) {
      SendAttempt(query, ordinal, choice.replica, false);
      return;
    }
    if (choice.kind == ChoiceKind::kNone) {
      OnNoReplica(query, ordinal);
      return;
    }
  }
  if (shard.waiting.size() >= Admission::kMaxWaitingTasks) {
    query.worst_failure = RefusalReason::kOverloaded;
    MarkMissing(query, task);
    return;
  }
  // A canary goes first, since all other tasks of its query wait for it.
  task.wait_deadline = task.canary ? m_now : query.internal_deadline;
  task.wait_sequence = ++m_last_sequence;
  shard.waiting.insert({task.wait_deadline, task.wait_sequence, query.number});
  ++m_waiting_tasks;
  DispatchWaiting(shard);
}

// Gives free slots to waiting tasks. Tasks whose answer is not expected before
// the deadline are given up, so that they take no slot.
void FanOutEngine::DispatchWaiting(ShardPlan& shard) {
  std::size_t skipped = 0;
  while (skipped < std::min(kDispatchLookahead, shard.waiting.size())) {
    const auto next =
        std::next(shard.waiting.begin(), static_cast<std::ptrdiff_t>(skipped));
    Query& query = *FindQuery(next->query);
    ShardTask& task = query.tasks[shard.ordinal];
    if (query.IsOver()) {
      shard.waiting.erase(next);
      --m_waiting_tasks;
      task.state = TaskState::kHeld;
      continue;
    }
    if (m_now + m_latencies.CachedMedian() >= query.internal_deadline) {
      shard.waiting.erase(next);
      --m_waiting_tasks;
      query.worst_failure = RefusalReason::kOverloaded;
      MarkMissing(query, task);
      continue;
    }
    const Choice choice =
        m_chooser.Choose(shard, ChoiceFor(query, task), m_now);
    if (choice.kind == ChoiceKind::kAllBusy) {
      ++skipped;
      continue;
    }
    shard.waiting.erase(next);
    --m_waiting_tasks;
    if (choice.kind == ChoiceKind::kReplica) {
      SendAttempt(query, shard.ordinal, choice.replica, false);
    } else {
      OnNoReplica(query, shard.ordinal);
    }
  }
}

void FanOutEngine::DispatchWaitingForLeaf(LeafIndex leaf) {
  for (ShardPlan* shard : m_replica_table.At(leaf).serves) {
    if (!shard->waiting.empty()) {
      DispatchWaiting(*shard);
    }
  }
}

void FanOutEngine::SendAttempt(Query& query,
                               std::uint32_t ordinal,
                               std::uint32_t replica,
                               bool is_hedge) {
  ShardTask& task = query.tasks[ordinal];
  const ShardPlan& shard = query.snapshot->plan->Shards()[ordinal];
  const LeafIndex index = shard.replicas[replica].leaf;
  LeafRecord& leaf = m_replica_table.At(index);
  const AttemptNumber number = ++m_last_attempt;
  AttemptRecord& record = m_attempts[number];
  record = {query.number,
            query.epoch,
            ordinal,
            shard.id,
            query.snapshot->version.number,
            query.fingerprint,
            index,
            leaf.incarnation,
            m_now,
            task.canary,
            is_hedge,
            false};
  if (task.canary) {
    m_guard.OnCanarySent(query.fingerprint, *task.canary, m_now);
    task.canary.reset();
  }
  if (task.attempts == 0) {
    m_budget.OnNeededAttempt();
    ++m_counters.needed;
  }
  ++task.attempts;
  ++query.attempts;
  ++query.in_flight;
  ++leaf.in_flight;
  ++m_counters.attempts;
  task.tried |= std::uint64_t{1} << replica;
  task.state = TaskState::kRunning;
  task.last_sent_at = m_now;
  task.running_attempts.push_back(number);
  m_actions.sends.push_back({leaf.endpoint, MakeAttempt(query, shard, number)});
}

Attempt FanOutEngine::MakeAttempt(const Query& query,
                                  const ShardPlan& shard,
                                  AttemptNumber number) const {
  Attempt attempt;
  attempt.attempt_id = m_attempt_prefix + std::to_string(number);
  attempt.request_id = query.request.request_id;
  attempt.service = query.route->spec.name;
  attempt.version = query.snapshot->version;
  attempt.shard = shard.id;
  attempt.idempotent = query.IsIdempotent();
  attempt.query = query.request.query;
  attempt.limit = query.request.limit;
  attempt.deadline = query.internal_deadline;
  return attempt;
}

ChoiceQuery FanOutEngine::ChoiceFor(const Query& query,
                                    const ShardTask& task) const {
  ChoiceQuery choice;
  choice.version = query.snapshot->version;
  choice.tried = task.tried;
  choice.slot_share = m_slot_share;
  choice.typical_latency = m_latencies.CachedMedian();
  return choice;
}

void FanOutEngine::OnNoReplica(Query& query, std::uint32_t ordinal) {
  ShardTask& task = query.tasks[ordinal];
  const ShardPlan& shard = query.snapshot->plan->Shards()[ordinal];
  if (task.canary) {
    m_guard.CloseCanary(query.fingerprint, *task.canary);
    task.canary.reset();
  }
  const Duration backoff = std::min(
      kMaxBackoff,
      kInitialBackoff * (1U << std::min(task.backoffs, kMaxBackoffDoublings)));
  if (task.is_version_missing && MayAwaitVersion(query, backoff)) {
    BackOff(query, task, backoff);
    return;
  }
  if (task.is_version_missing && CanRestart(query)) {
    query.needs_restart = true;
    m_changed_queries.push_back(query.number);
    return;
  }
  const bool is_allowed = m_now + backoff < query.internal_deadline &&
                          !m_admission.WasOverloaded(m_now);
  if (!is_allowed || !CanBackOff(query, shard) || !m_budget.TakeForRetry()) {
    MarkMissing(query, task);
    return;
  }
  BackOff(query, task, backoff);
}

void FanOutEngine::BackOff(Query& query, ShardTask& task, Duration backoff) {
  ++task.backoffs;
  task.state = TaskState::kBackingOff;
  task.retry_at = m_now + backoff;
  AddTimer(task.retry_at, query, TimerKind::kRetry);
}

// The wait takes no token of the extra-load budget, as no attempt is sent while
// no replica has the version.
bool FanOutEngine::MayAwaitVersion(const Query& query, Duration backoff) {
  return query.IsIdempotent() && query.epoch == 0 && !IsSnapshotSettled() &&
         m_now + backoff + m_latencies.Mean() * 2 < query.internal_deadline;
}

// A query restarts at most once, and only if another version is now preferred.
bool FanOutEngine::CanRestart(const Query& query) {
  const std::optional<Snapshot>& snapshot = CurrentSnapshot();
  return query.IsIdempotent() && query.epoch == 0 && snapshot &&
         snapshot->version != query.snapshot->version &&
         m_now + m_latencies.Mean() * 2 < query.internal_deadline;
}

bool FanOutEngine::CanBackOff(const Query& query,
                              const ShardPlan& shard) const {
  return std::any_of(
      shard.replicas.begin(), shard.replicas.end(),
      [&](const ReplicaPlan& replica) {
        const LeafRecord& leaf = m_replica_table.At(replica.leaf);
        return leaf.IsOpen() && leaf.Has(query.snapshot->version);
      });
}

void FanOutEngine::MarkMissing(Query& query, ShardTask& task) {
  task.state = TaskState::kMissing;
  --query.open_tasks;
  if (task.canary) {
    m_guard.CloseCanary(query.fingerprint, *task.canary);
    task.canary.reset();
  }
  m_changed_queries.push_back(query.number);
}

void FanOutEngine::RunRetries(Query& query) {
  for (std::uint32_t ordinal = 0; ordinal < query.tasks.size(); ++ordinal) {
    ShardTask& task = query.tasks[ordinal];
    if (task.state != TaskState::kBackingOff || task.retry_at > m_now) {
      continue;
    }
    ++m_counters.retries;
    task.tried = 0;
    task.state = TaskState::kHeld;
    if (!query.is_held) {
      ScheduleTask(query, ordinal);
    }
  }
  ReviewHeldQueries(query.fingerprint);
}

}  // namespace bramleyspoke
