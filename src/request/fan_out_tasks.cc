// Starting queries and scheduling their tasks on replicas.

#include <algorithm>

#include "request/fan_out_engine.h"

namespace bramleyspoke {
namespace {

constexpr Duration kSnapshotWait = std::chrono::milliseconds(200);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(5);
constexpr Duration kMostBackoff = std::chrono::milliseconds(50);
constexpr std::uint32_t kMostDoublings = 4;
// Number of waiting tasks examined when the first finds no free slot: a later
// one may use a replica that the first has already tried.
constexpr std::size_t kLookAhead = 4;

}  // namespace

Query* FanOutEngine::Find(QueryNumber number) {
  const auto found = m_queries.find(number);
  return found == m_queries.end() ? nullptr : found->second.get();
}

const std::optional<Snapshot>& FanOutEngine::CurrentSnapshot() {
  if (m_is_snapshot_stale) {
    m_snapshot = ChooseSnapshot(m_plans, m_book);
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
  const bool may_improve =
      m_book.HasUnheard() || m_book.AreVersionsMoving(m_now);
  return snapshot && (snapshot->coverage >= 1 || !may_improve);
}

void FanOutEngine::Start(Query& query) {
  if (IsSnapshotSettled()) {
    StartOn(query, *CurrentSnapshot());
    return;
  }
  m_unstarted.push_back(query.number);
  const TimePoint by = std::min(m_now + kSnapshotWait, query.end_by);
  m_timers.Add({by, query.number, TimerKind::kSnapshot});
}

void FanOutEngine::StartUnstarted() {
  if (m_unstarted.empty() || !IsSnapshotSettled()) {
    return;
  }
  const std::vector<QueryNumber> numbers = std::move(m_unstarted);
  m_unstarted.clear();
  for (const QueryNumber number : numbers) {
    Query* query = Find(number);
    if (query != nullptr && !query->IsOver() && !query->snapshot) {
      StartOn(*query, *CurrentSnapshot());
    }
  }
}

void FanOutEngine::StartOn(Query& query, const Snapshot& snapshot) {
  const CrashStanding standing =
      m_guard.Standing(query.fingerprint, snapshot.version.number, m_now);
  if (standing == CrashStanding::kSuspect) {
    EndWith(query, RefusalReason::kCrashSuspect,
            "backend servers crashed while running this request");
    return;
  }
  const LoadView load{m_waiting, m_held_queries, m_slot_share,
                      m_latencies.Mean()};
  const auto retry_after =
      m_admission.Check(*snapshot.plan, load, query.end_by, m_now);
  if (retry_after) {
    EndWith(query, RefusalReason::kOverloaded,
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
    m_held[query.fingerprint].push_back(query.number);
    RunCanary(query);
  } else {
    ReleaseTasks(query);
  }
  m_touched.push_back(query.number);
}

void FanOutEngine::Unhold(Query& query) {
  m_held_queries -= query.is_held ? 1 : 0;
  query.is_held = false;
}

void FanOutEngine::ReleaseTasks(Query& query) {
  Unhold(query);
  for (std::uint32_t ordinal = 0; ordinal < query.tasks.size(); ++ordinal) {
    if (query.tasks[ordinal].state == TaskState::kHeld) {
      Place(query, ordinal);
    }
  }
  const std::optional<Duration> delay = m_hedges.Delay();
  if (delay && query.IsIdempotent()) {
    AddTimer(m_now + *delay, query, TimerKind::kHedge);
  }
}

void FanOutEngine::Place(Query& query, std::uint32_t ordinal) {
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
      Send(query, ordinal, choice.replica, false);
      return;
    }
    if (choice.kind == ChoiceKind::kNone) {
      OnNoReplica(query, ordinal);
      return;
    }
  }
  if (shard.waiting.size() >= Admission::kMostWaiting) {
    query.worst = RefusalReason::kOverloaded;
    GiveUp(query, task);
    return;
  }
  // A canary goes first, since all other tasks of its query wait for it.
  task.wait_deadline = task.canary ? m_now : query.end_by;
  task.wait_sequence = ++m_last_sequence;
  shard.waiting.insert({task.wait_deadline, task.wait_sequence, query.number});
  ++m_waiting;
  Pump(shard);
}

// Gives free slots to waiting tasks. Tasks whose answer is not expected before
// the deadline are given up, so that they take no slot.
void FanOutEngine::Pump(ShardPlan& shard) {
  std::size_t skipped = 0;
  while (skipped < std::min(kLookAhead, shard.waiting.size())) {
    const auto next =
        std::next(shard.waiting.begin(), static_cast<std::ptrdiff_t>(skipped));
    Query& query = *Find(next->query);
    ShardTask& task = query.tasks[shard.ordinal];
    if (query.IsOver()) {
      shard.waiting.erase(next);
      --m_waiting;
      task.state = TaskState::kHeld;
      continue;
    }
    if (m_now + m_latencies.Typical() >= query.end_by) {
      shard.waiting.erase(next);
      --m_waiting;
      query.worst = RefusalReason::kOverloaded;
      GiveUp(query, task);
      continue;
    }
    const Choice choice =
        m_chooser.Choose(shard, ChoiceFor(query, task), m_now);
    if (choice.kind == ChoiceKind::kAllBusy) {
      ++skipped;
      continue;
    }
    shard.waiting.erase(next);
    --m_waiting;
    if (choice.kind == ChoiceKind::kReplica) {
      Send(query, shard.ordinal, choice.replica, false);
    } else {
      OnNoReplica(query, shard.ordinal);
    }
  }
}

void FanOutEngine::PumpLeaf(LeafIndex leaf) {
  for (ShardPlan* shard : m_book.At(leaf).serves) {
    if (!shard->waiting.empty()) {
      Pump(*shard);
    }
  }
}

void FanOutEngine::Send(Query& query,
                        std::uint32_t ordinal,
                        std::uint32_t replica,
                        bool is_hedge) {
  ShardTask& task = query.tasks[ordinal];
  const ShardPlan& shard = query.snapshot->plan->Shards()[ordinal];
  const LeafIndex index = shard.replicas[replica].leaf;
  LeafState& leaf = m_book.At(index);
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
    m_budget.OnNeeded();
    ++m_counters.needed;
  }
  ++task.attempts;
  ++query.attempts;
  ++query.in_flight;
  ++leaf.in_flight;
  ++m_counters.attempts;
  task.tried |= std::uint64_t{1} << replica;
  task.state = TaskState::kRunning;
  task.last_sent = m_now;
  task.running.push_back(number);
  m_actions.sends.push_back({leaf.endpoint, MakeAttempt(query, shard, number)});
}

Attempt FanOutEngine::MakeAttempt(const Query& query,
                                  const ShardPlan& shard,
                                  AttemptNumber number) const {
  Attempt attempt;
  attempt.attempt_id = m_prefix + std::to_string(number);
  attempt.request_id = query.request.request_id;
  attempt.service = query.route->spec.name;
  attempt.version = query.snapshot->version;
  attempt.shard = shard.id;
  attempt.idempotent = query.IsIdempotent();
  attempt.query = query.request.query;
  attempt.limit = query.request.limit;
  attempt.deadline = query.end_by;
  return attempt;
}

ChoiceQuery FanOutEngine::ChoiceFor(const Query& query,
                                    const ShardTask& task) const {
  ChoiceQuery choice;
  choice.version = query.snapshot->version;
  choice.tried = task.tried;
  choice.slot_share = m_slot_share;
  choice.typical_latency = m_latencies.Typical();
  return choice;
}

void FanOutEngine::OnNoReplica(Query& query, std::uint32_t ordinal) {
  ShardTask& task = query.tasks[ordinal];
  const ShardPlan& shard = query.snapshot->plan->Shards()[ordinal];
  if (task.canary) {
    m_guard.CloseCanary(query.fingerprint, *task.canary);
    task.canary.reset();
  }
  const Duration backoff =
      std::min(kMostBackoff,
               kFirstBackoff * (1U << std::min(task.rounds, kMostDoublings)));
  if (task.is_version_missing && MayAwaitVersion(query, backoff)) {
    BackOff(query, task, backoff);
    return;
  }
  if (task.is_version_missing && CanRestart(query)) {
    query.wants_restart = true;
    m_touched.push_back(query.number);
    return;
  }
  const bool is_allowed =
      m_now + backoff < query.end_by && !m_admission.WasOverloaded(m_now);
  if (!is_allowed || !CanBackOff(query, shard) || !m_budget.TakeForRetry()) {
    GiveUp(query, task);
    return;
  }
  BackOff(query, task, backoff);
}

void FanOutEngine::BackOff(Query& query, ShardTask& task, Duration backoff) {
  ++task.rounds;
  task.state = TaskState::kBackingOff;
  task.retry_at = m_now + backoff;
  AddTimer(task.retry_at, query, TimerKind::kRetry);
}

// Waiting costs no attempt, since no replica has the version.
bool FanOutEngine::MayAwaitVersion(const Query& query, Duration backoff) {
  return query.IsIdempotent() && query.epoch == 0 && !IsSnapshotSettled() &&
         m_now + backoff + m_latencies.Mean() * 2 < query.end_by;
}

// A query restarts at most once, and only if another version is now preferred.
bool FanOutEngine::CanRestart(const Query& query) {
  const std::optional<Snapshot>& snapshot = CurrentSnapshot();
  return query.IsIdempotent() && query.epoch == 0 && snapshot &&
         snapshot->version != query.snapshot->version &&
         m_now + m_latencies.Mean() * 2 < query.end_by;
}

bool FanOutEngine::CanBackOff(const Query& query,
                              const ShardPlan& shard) const {
  return std::any_of(shard.replicas.begin(), shard.replicas.end(),
                     [&](const ReplicaPlan& replica) {
                       const LeafState& leaf = m_book.At(replica.leaf);
                       return leaf.IsOpen() &&
                              leaf.Has(query.snapshot->version);
                     });
}

void FanOutEngine::GiveUp(Query& query, ShardTask& task) {
  task.state = TaskState::kMissing;
  --query.open_tasks;
  if (task.canary) {
    m_guard.CloseCanary(query.fingerprint, *task.canary);
    task.canary.reset();
  }
  m_touched.push_back(query.number);
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
      Place(query, ordinal);
    }
  }
  ReviewHeld(query.fingerprint);
}

}  // namespace bramleyspoke
