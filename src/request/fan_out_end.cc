// Finishing queries with an answer or a refusal, and restarting them.

#include <algorithm>
#include <utility>

#include "request/fan_out_engine.h"

namespace bramleyspoke {
namespace {

constexpr Duration kRetryAfterNoReplica = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

}  // namespace

void FanOutEngine::RefuseQuery(Query& query,
                               RefusalReason reason,
                               std::string detail,
                               std::optional<Duration> retry_after) {
  if (!query.pending_refusal) {
    query.pending_refusal =
        PendingRefusal{reason, std::move(detail), retry_after};
    m_changed_queries.push_back(query.number);
  }
}

void FanOutEngine::ProcessChangedQueries() {
  while (!m_changed_queries.empty()) {
    const QueryNumber number = m_changed_queries.back();
    m_changed_queries.pop_back();
    Query* query = FindQuery(number);
    if (query == nullptr) {
      continue;
    }
    const bool is_complete = query->snapshot && query->open_tasks == 0;
    if (query->pending_refusal || query->is_past_deadline || is_complete) {
      Finish(*query);
    } else if (query->needs_restart) {
      Restart(*query);
    }
  }
}

void FanOutEngine::ReleaseResources(Query& query) {
  EndHold(query);
  if (query.merger) {
    m_held_bytes -= query.merger->Bytes();
    query.merger->Take();
  }
  for (std::uint32_t ordinal = 0; ordinal < query.tasks.size(); ++ordinal) {
    ShardTask& task = query.tasks[ordinal];
    ShardPlan& shard = query.snapshot->plan->Shards()[ordinal];
    if (task.state == TaskState::kWaiting) {
      m_waiting_tasks -= shard.waiting.erase(
          {task.wait_deadline, task.wait_sequence, query.number});
    }
    if (task.canary) {
      m_guard.CloseCanary(query.fingerprint, *task.canary);
      task.canary.reset();
    }
    CancelRunning(task);
  }
  const auto held = m_held_by_fingerprint.find(query.fingerprint);
  if (held != m_held_by_fingerprint.end()) {
    std::erase(held->second, query.number);
  }
}

void FanOutEngine::Restart(Query& query) {
  ReleaseResources(query);
  query.needs_restart = false;
  ++query.epoch;
  ++m_counters.restarts;
  StartOnSnapshot(query, *CurrentSnapshot());
  ReviewHeldQueries(query.fingerprint);
}

void FanOutEngine::Finish(Query& query) {
  SearchOutcome outcome = MakeOutcome(query);
  ReleaseResources(query);
  if (outcome.refusal) {
    ++m_counters.refusals[static_cast<std::size_t>(outcome.refusal->reason)];
  } else {
    ++m_counters.answers;
    m_counters.coverage_sum += outcome.answer->coverage;
    m_counters.full_answers += outcome.answer->missing.empty() ? 1 : 0;
  }
  m_actions.finishes.push_back({query.number, std::move(outcome)});
  const std::uint64_t fingerprint = query.fingerprint;
  m_queries.erase(query.number);
  ReviewHeldQueries(fingerprint);
}

SearchOutcome FanOutEngine::MakeOutcome(Query& query) {
  SearchOutcome outcome;
  outcome.attempts = query.attempts;
  outcome.needed = static_cast<std::uint32_t>(query.tasks.size());
  const double coverage = query.coverage ? query.coverage->Coverage() : 0;
  if (!query.pending_refusal && coverage > 0) {
    SearchAnswer answer;
    answer.version = query.snapshot->version;
    m_held_bytes -= query.merger->Bytes();
    answer.hits = query.merger->Take();
    answer.coverage = coverage;
    answer.missing = query.coverage->Missing(*query.snapshot->plan);
    outcome.answer = std::move(answer);
    outcome.verdict = Verdict::kRan;
    return outcome;
  }
  // Attempts in flight may run, or have run.
  outcome.verdict = query.in_flight == 0
                        ? query.verdict
                        : Combine(query.verdict, Verdict::kMayHaveRun);
  PendingRefusal refusal =
      query.pending_refusal ? *query.pending_refusal : RefusalFor(query);
  outcome.refusal = Refusal{refusal.reason, outcome.verdict,
                            std::move(refusal.detail), refusal.retry_after};
  return outcome;
}

PendingRefusal FanOutEngine::RefusalFor(const Query& query) const {
  if (!query.snapshot) {
    return {RefusalReason::kNoSnapshot, "no index version is known yet",
            kRetryAfterNoReplica};
  }
  const bool has_outstanding = query.in_flight > 0;
  const bool is_late = query.worst_failure == RefusalReason::kDeadlinePassed;
  if (is_late ||
      (query.is_past_deadline &&
       (has_outstanding || query.worst_failure == RefusalReason::kLost))) {
    return {RefusalReason::kDeadlinePassed, "no shard answered in time",
            std::nullopt};
  }
  if (query.worst_failure == RefusalReason::kLost) {
    return {RefusalReason::kLost, "no shard's answer came", std::nullopt};
  }
  const bool was_never_sent =
      std::all_of(query.tasks.begin(), query.tasks.end(),
                  [](const ShardTask& task) { return task.attempts == 0; });
  if (query.worst_failure == RefusalReason::kOverloaded ||
      (query.is_past_deadline && was_never_sent)) {
    return {RefusalReason::kOverloaded, "no slot came free in time",
            std::max(kMinRetryAfter, m_latencies.Mean())};
  }
  return {RefusalReason::kNoReplica, "no replica of any shard takes requests",
          kRetryAfterNoReplica};
}

}  // namespace bramleyspoke
