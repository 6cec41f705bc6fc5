// Updates leafs, crash evidence and tasks from the outcomes of attempts.

#include <algorithm>
#include <utility>

#include "request/ejection.h"
#include "request/fan_out_engine.h"

namespace bramleyspoke {
namespace {

constexpr double kLatencyEwmaWeight = 0.3;
// A timed-out attempt counts as a failure of its leaf only if its age exceeds
// this multiple of the mean latency: other leafs would have answered long
// before.
constexpr int kFailedTimeoutFactor = 4;
constexpr std::uint32_t kFailuresToBeUnreachable = 2;

bool IsShedding(LeafReason reason) {
  return reason == LeafReason::kShed || reason == LeafReason::kNoSlot ||
         reason == LeafReason::kOther;
}

// Returns the more severe of two reasons.
RefusalReason MoreSevere(RefusalReason a, RefusalReason b) {
  for (const RefusalReason worst :
       {RefusalReason::kLost, RefusalReason::kDeadlinePassed,
        RefusalReason::kOverloaded}) {
    if (a == worst || b == worst) {
      return worst;
    }
  }
  return a;
}

RefusalReason RefusalReasonFor(const AttemptOutcome& outcome) {
  switch (outcome.result) {
    case AttemptResult::kNotSent:
      return RefusalReason::kNoReplica;
    case AttemptResult::kRefused:
      if (outcome.reason == LeafReason::kDeadline) {
        return RefusalReason::kDeadlinePassed;
      }
      return IsShedding(outcome.reason) ? RefusalReason::kOverloaded
                                        : RefusalReason::kNoReplica;
    default:
      return RefusalReason::kLost;
  }
}

}  // namespace

void FanOutEngine::ObserveLeaf(const AttemptRecord& record,
                               const AttemptOutcome& outcome) {
  if (outcome.reported_load) {
    m_replica_table.At(record.leaf).reported_load = outcome.reported_load;
  }
  bool has_changed = m_replica_table.OnIncarnation(
      record.leaf, outcome.incarnation, record.sent, m_now);
  if (outcome.reason == LeafReason::kVersionMissing) {
    const Query* query = FindQuery(record.query);
    const bool is_known = query != nullptr && query->epoch == record.epoch;
    if (is_known && query->snapshot) {
      has_changed |= m_replica_table.OnVersionMissing(
          record.leaf, query->snapshot->version, m_now);
    }
  }
  const bool has_response = outcome.result == AttemptResult::kAnswered ||
                            outcome.result == AttemptResult::kRefused;
  if (has_response) {
    has_changed |= m_replica_table.OnReachable(record.leaf, true);
  }
  ObserveResult(record, outcome);
  if (outcome.draining || outcome.reason == LeafReason::kDraining) {
    OnLeafDraining(record.leaf, outcome.incarnation);
  }
  if (has_changed) {
    OnLeafChanged(record.leaf);
  }
}

void FanOutEngine::ObserveResult(const AttemptRecord& record,
                                 const AttemptOutcome& outcome) {
  LeafRecord& leaf = m_replica_table.At(record.leaf);
  const Duration age = m_now - record.sent;
  bool has_failed = false;
  switch (outcome.result) {
    case AttemptResult::kAnswered:
      ObserveLatency(leaf, age);
      EjectionPolicy::OnSuccess(leaf);
      break;
    case AttemptResult::kRefused:
      if (IsShedding(outcome.reason)) {
        EjectionPolicy::OnShed(leaf, m_now);
      }
      [[fallthrough]];
    case AttemptResult::kCancelled:
      // The age is a lower bound of the latency.
      if (record.is_cancelled && age > leaf.latency) {
        ObserveLatency(leaf, age);
      }
      break;
    case AttemptResult::kTimedOut:
      ObserveLatency(leaf, std::max(age, leaf.latency));
      has_failed = age > m_latencies.Mean() * kFailedTimeoutFactor;
      break;
    case AttemptResult::kNotSent:
      ++m_counters.not_sent;
      has_failed = true;
      break;
    case AttemptResult::kLost:
    case AttemptResult::kWrongAnswer:
      has_failed = true;
      break;
  }
  if (has_failed && EjectionPolicy::OnFailure(leaf, m_replica_table, m_now)) {
    ++m_counters.ejections;
  }
  if (outcome.result == AttemptResult::kNotSent &&
      leaf.failures_in_row >= kFailuresToBeUnreachable) {
    m_is_snapshot_stale |= m_replica_table.OnReachable(record.leaf, false);
  }
}

void FanOutEngine::ObserveLatency(LeafRecord& leaf, Duration latency) {
  m_latencies.Record(latency);
  m_hedges.OnLatency(m_latencies, m_route->spec.extra_load_percent);
  if (leaf.latency == Duration::zero()) {
    leaf.latency = latency;
  } else {
    const Duration change = latency - leaf.latency;
    leaf.latency += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(change) *
        kLatencyEwmaWeight);
  }
  leaf.latency_at = m_now;
}

void FanOutEngine::ObserveCrash(const AttemptRecord& record,
                                const AttemptOutcome& outcome) {
  const std::uint64_t fingerprint = record.fingerprint;
  if (record.canary) {
    m_guard.CloseCanary(fingerprint, *record.canary);
  }
  const LostAttempt lost{record.shard, record.leaf, record.incarnation,
                         record.sent};
  switch (outcome.result) {
    case AttemptResult::kAnswered:
      m_guard.OnSurvived(fingerprint, record.version, record.shard);
      break;
    case AttemptResult::kLost:
      m_guard.OnLost(fingerprint, lost, m_now);
      break;
    case AttemptResult::kNotSent:
      m_guard.OnLeafUnreachable(record.leaf, m_now);
      break;
    case AttemptResult::kTimedOut:
    case AttemptResult::kCancelled:
    case AttemptResult::kWrongAnswer:
      if (m_guard.Standing(fingerprint, record.version, m_now) ==
          CrashStanding::kUnproven) {
        m_guard.OnOutcomeUnknown(fingerprint, lost, m_now);
      }
      break;
    case AttemptResult::kRefused:
      break;
  }
  m_guard.OnLeafAnswered(record.leaf, outcome.incarnation, record.sent);
}

void FanOutEngine::ApplyOutcome(Query& query,
                                AttemptNumber number,
                                const AttemptRecord& record,
                                AttemptOutcome outcome) {
  --query.in_flight;
  const Verdict verdict = VerdictOf(outcome);
  query.verdict = Combine(query.verdict, verdict);
  if (outcome.result == AttemptResult::kNotSent) {
    --query.attempts;
  }
  const bool is_answer = outcome.result == AttemptResult::kAnswered;
  if (record.epoch != query.epoch || query.IsOver()) {
    m_counters.late_answers += is_answer ? 1 : 0;
    return;
  }
  ShardTask& task = query.tasks[record.ordinal];
  std::erase(task.running_attempts, number);
  if (task.IsDone()) {
    m_counters.late_answers += is_answer ? 1 : 0;
    return;
  }
  if (is_answer) {
    AcceptAnswer(query, record, std::move(outcome));
    return;
  }
  task.is_version_missing |= outcome.reason == LeafReason::kVersionMissing;
  query.worst_failure =
      MoreSevere(query.worst_failure, RefusalReasonFor(outcome));
  if (record.is_hedge && verdict == Verdict::kNotRun) {
    m_budget.ReturnToken();
  }
  if (task.running_attempts.empty()) {
    RetryTask(query, record.ordinal, verdict);
  }
}

void FanOutEngine::AcceptAnswer(Query& query,
                                const AttemptRecord& record,
                                AttemptOutcome outcome) {
  ShardTask& task = query.tasks[record.ordinal];
  task.state = TaskState::kAnswered;
  --query.open_tasks;
  m_changed_queries.push_back(query.number);
  m_counters.hedge_wins += record.is_hedge ? 1 : 0;
  CancelRunning(task);
  query.coverage->Add(record.ordinal, outcome.covered);
  MergeHits(query, std::move(outcome.hits));
}

void FanOutEngine::MergeHits(Query& query, std::vector<Hit> hits) {
  m_held_bytes -= query.merger->Bytes();
  const bool fits = query.merger->Add(std::move(hits));
  m_held_bytes += query.merger->Bytes();
  if (!fits) {
    RefuseQuery(query, RefusalReason::kTooLarge,
                "the answer takes more than " +
                    std::to_string(query.route->spec.max_answer_bytes) +
                    " bytes");
  } else if (m_held_bytes > Admission::kMaxHeldBytes) {
    RefuseQuery(query, RefusalReason::kOverloaded,
                "answers under way take too much memory",
                Admission::kRetryAfter);
  }
}

// A retry after "not run" causes no second execution, but takes processing time
// when all leafs are busy, so under overload it needs a token of the extra-load
// budget. After any other verdict the request may run twice: a retry always
// needs a token, and is not made under overload or for a non-idempotent or
// suspect request.
void FanOutEngine::RetryTask(Query& query,
                             std::uint32_t ordinal,
                             Verdict verdict) {
  ShardTask& task = query.tasks[ordinal];
  if (verdict != Verdict::kNotRun) {
    const CrashStanding standing = m_guard.Standing(
        query.fingerprint, query.snapshot->version.number, m_now);
    const bool may_repeat = query.IsIdempotent() &&
                            standing != CrashStanding::kSuspect &&
                            !m_admission.WasOverloaded(m_now);
    if (!may_repeat || !m_budget.TakeForRetry()) {
      MarkMissing(query, task);
      return;
    }
  } else if (m_admission.WasOverloaded(m_now) && !m_budget.TakeForRetry()) {
    MarkMissing(query, task);
    return;
  }
  ++m_counters.retries;
  if (query.is_held) {
    // `ReviewHeldQueries` sends the task or ends the query.
    task.state = TaskState::kHeld;
  } else {
    ScheduleTask(query, ordinal);
  }
}

void FanOutEngine::CancelRunning(ShardTask& task) {
  for (const AttemptNumber number : task.running_attempts) {
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
      continue;
    }
    found->second.is_cancelled = true;
    ++m_counters.cancels;
    m_actions.cancels.push_back(
        {m_replica_table.At(found->second.leaf).endpoint,
         m_attempt_prefix + std::to_string(number)});
  }
  task.running_attempts.clear();
}

}  // namespace bramleyspoke
