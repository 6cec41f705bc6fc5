// Finishing queries with an answer or a refusal, and restarting them.

#include <algorithm>
#include <utility>

#include "request/fan_out_engine.h"

namespace bramleyspoke {
namespace {

constexpr Duration kRetryAfterNoReplica = std::chrono::seconds(1);
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(10);

}  // namespace

void FanOutEngine::EndWith(Query& query,
                           RefusalReason reason,
                           std::string detail,
                           std::optional<Duration> retry_after) {
  if (!query.end) {
    query.end = QueryEnd{reason, std::move(detail), retry_after};
    m_touched.push_back(query.number);
  }
}

void FanOutEngine::Settle() {
  while (!m_touched.empty()) {
    const QueryNumber number = m_touched.back();
    m_touched.pop_back();
    Query* query = Find(number);
    if (query == nullptr) {
      continue;
    }
    const bool is_complete = query->snapshot && query->open_tasks == 0;
    if (query->end || query->is_expired || is_complete) {
      Finish(*query);
    } else if (query->wants_restart) {
      Restart(*query);
    }
  }
}

void FanOutEngine::Detach(Query& query) {
  Unhold(query);
  if (query.merger) {
    m_held_bytes -= query.merger->Bytes();
    query.merger->Take();
  }
  for (std::uint32_t ordinal = 0; ordinal < query.tasks.size(); ++ordinal) {
    ShardTask& task = query.tasks[ordinal];
    ShardPlan& shard = query.snapshot->plan->Shards()[ordinal];
    if (task.state == TaskState::kWaiting) {
      m_waiting -= shard.waiting.erase(
          {task.wait_deadline, task.wait_sequence, query.number});
    }
    if (task.canary) {
      m_guard.CloseCanary(query.fingerprint, *task.canary);
      task.canary.reset();
    }
    CancelRunning(task);
  }
  const auto held = m_held.find(query.fingerprint);
  if (held != m_held.end()) {
    std::erase(held->second, query.number);
  }
}

void FanOutEngine::Restart(Query& query) {
  Detach(query);
  query.wants_restart = false;
  ++query.epoch;
  ++m_counters.restarts;
  StartOn(query, *CurrentSnapshot());
  ReviewHeld(query.fingerprint);
}

void FanOutEngine::Finish(Query& query) {
  SearchOutcome outcome = MakeOutcome(query);
  Detach(query);
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
  ReviewHeld(fingerprint);
}

SearchOutcome FanOutEngine::MakeOutcome(Query& query) {
  SearchOutcome outcome;
  outcome.attempts = query.attempts;
  outcome.needed = static_cast<std::uint32_t>(query.tasks.size());
  const double coverage = query.coverage ? query.coverage->Coverage() : 0;
  if (!query.end && coverage > 0) {
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
  QueryEnd end = query.end ? *query.end : EndOf(query);
  outcome.refusal = Refusal{end.reason, outcome.verdict, std::move(end.detail),
                            end.retry_after};
  return outcome;
}

QueryEnd FanOutEngine::EndOf(const Query& query) const {
  if (!query.snapshot) {
    return {RefusalReason::kNoSnapshot, "no index version is known yet",
            kRetryAfterNoReplica};
  }
  const bool is_open = query.in_flight > 0;
  const bool is_late = query.worst == RefusalReason::kDeadlinePassed;
  if (is_late ||
      (query.is_expired && (is_open || query.worst == RefusalReason::kLost))) {
    return {RefusalReason::kDeadlinePassed, "no shard answered in time",
            std::nullopt};
  }
  if (query.worst == RefusalReason::kLost) {
    return {RefusalReason::kLost, "no shard's answer came", std::nullopt};
  }
  const bool is_queued =
      std::all_of(query.tasks.begin(), query.tasks.end(),
                  [](const ShardTask& task) { return task.attempts == 0; });
  if (query.worst == RefusalReason::kOverloaded ||
      (query.is_expired && is_queued)) {
    return {RefusalReason::kOverloaded, "no slot came free in time",
            std::max(kLeastRetryAfter, m_latencies.Mean())};
  }
  return {RefusalReason::kNoReplica, "no replica of any shard takes requests",
          kRetryAfterNoReplica};
}

}  // namespace bramleyspoke
