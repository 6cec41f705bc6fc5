// Hedges, and canaries for requests that no leaf has answered yet.

#include <algorithm>

#include "request/fan_out_engine.h"

namespace bramleyspoke {
namespace {

constexpr Duration kMinHedgeRecheck = std::chrono::milliseconds(1);
constexpr Duration kMinCanaryWait = std::chrono::milliseconds(2);
constexpr std::uint32_t kMaxCanarySamples = 8;

}  // namespace

void FanOutEngine::RunHedges(Query& query) {
  const std::optional<Duration> delay = m_hedges.Delay();
  if (!delay || query.is_held) {
    return;
  }
  const TimePoint again = m_now + std::max(kMinHedgeRecheck, *delay / 2);
  std::optional<TimePoint> next;
  const auto recheck_at = [&next](TimePoint at) {
    next = next ? std::min(*next, at) : at;
  };
  for (std::uint32_t ordinal = 0; ordinal < query.tasks.size(); ++ordinal) {
    const ShardTask& task = query.tasks[ordinal];
    if (task.state == TaskState::kWaiting) {
      recheck_at(again);
    }
    if (task.state != TaskState::kRunning ||
        task.running_attempts.size() != 1) {
      continue;
    }
    const TimePoint due = task.last_sent_at + *delay;
    if (due > m_now) {
      recheck_at(due);
    } else if (!TryHedge(query, ordinal)) {
      recheck_at(again);
    }
  }
  if (next) {
    AddTimer(*next, query, TimerKind::kHedge);
  }
}

bool FanOutEngine::TryHedge(Query& query, std::uint32_t ordinal) {
  const ShardTask& task = query.tasks[ordinal];
  const ShardPlan& shard = query.snapshot->plan->Shards()[ordinal];
  if (!query.IsIdempotent() || !shard.waiting.empty() || IsOverloaded()) {
    return false;
  }
  ChoiceQuery choice_query = ChoiceFor(query, task);
  choice_query.may_be_ejected = false;
  const Choice choice = m_chooser.Choose(shard, choice_query, m_now);
  if (choice.kind != ChoiceKind::kReplica || !m_budget.TakeForHedge()) {
    return false;
  }
  ++m_counters.hedges;
  SendAttempt(query, ordinal, choice.replica, true);
  return true;
}

// True if more than one task per shard waits on average, or if admission
// refused a query recently.
bool FanOutEngine::IsOverloaded() const {
  std::size_t shards = 0;
  for (const std::shared_ptr<LayoutPlan>& plan : m_plans) {
    shards = std::max(shards, plan->Shards().size());
  }
  return m_waiting_tasks > shards || m_admission.WasOverloaded(m_now);
}

void FanOutEngine::ReviewHeldQueries(std::uint64_t fingerprint) {
  const auto found = m_held_by_fingerprint.find(fingerprint);
  if (found == m_held_by_fingerprint.end()) {
    return;
  }
  const std::vector<QueryNumber> numbers = found->second;
  for (const QueryNumber number : numbers) {
    Query* query = FindQuery(number);
    if (query == nullptr || query->IsOver() || !query->is_held) {
      continue;
    }
    switch (
        m_guard.Standing(fingerprint, query->snapshot->version.number, m_now)) {
      case CrashStanding::kProven:
        std::erase(m_held_by_fingerprint[fingerprint], number);
        ReleaseTasks(*query);
        break;
      case CrashStanding::kSuspect:
        RefuseQuery(*query, RefusalReason::kCrashSuspect,
                    "backend servers crashed while running this request");
        break;
      case CrashStanding::kUnproven:
        LaunchCanary(*query);
        break;
    }
  }
  if (m_held_by_fingerprint[fingerprint].empty()) {
    m_held_by_fingerprint.erase(fingerprint);
  }
}

void FanOutEngine::RunCanary(Query& query) {
  if (!query.is_held) {
    return;
  }
  LaunchCanary(query);
  const Duration wait = std::max(kMinCanaryWait, m_hedges.QuantileDelay());
  AddTimer(m_now + wait, query, TimerKind::kCanary);
}

// Hedges the tasks before the first held one that have had no response for the
// hedge delay. Each hedge is a canary as well.
void FanOutEngine::HedgeCanaries(Query& query) {
  const std::optional<Duration> delay = m_hedges.Delay();
  for (std::uint32_t ordinal = 0; ordinal < query.tasks.size(); ++ordinal) {
    ShardTask& task = query.tasks[ordinal];
    if (task.state == TaskState::kHeld || !delay) {
      return;
    }
    const bool is_overdue = task.state == TaskState::kRunning &&
                            task.running_attempts.size() == 1 &&
                            task.last_sent_at + *delay <= m_now;
    if (!is_overdue) {
      continue;
    }
    task.canary = m_guard.OpenCanary(query.fingerprint, m_now);
    if (task.canary && !TryHedge(query, ordinal)) {
      m_guard.CloseCanary(query.fingerprint, *task.canary);
      task.canary.reset();
    }
  }
}

void FanOutEngine::LaunchCanary(Query& query) {
  const std::optional<CanaryId> id =
      m_guard.OpenCanary(query.fingerprint, m_now);
  if (!id) {
    return;
  }
  const std::optional<std::uint32_t> ordinal = PickCanaryTask(query);
  if (ordinal && !query.IsOver()) {
    query.tasks[*ordinal].canary = id;
    ScheduleTask(query, *ordinal);
    return;
  }
  m_guard.CloseCanary(query.fingerprint, *id);
}

// Returns the held task with the lowest cost among up to `kMaxCanarySamples`:
// all others wait for its answer.
std::optional<std::uint32_t> FanOutEngine::PickCanaryTask(Query& query) {
  const auto count = static_cast<std::uint32_t>(query.tasks.size());
  const std::uint32_t start = m_chooser.Random(count);
  std::optional<std::uint32_t> best;
  double best_cost = 0;
  std::uint32_t samples = 0;
  for (std::uint32_t i = 0; i < count && samples < kMaxCanarySamples; ++i) {
    const std::uint32_t ordinal = (start + i) % count;
    const ShardTask& task = query.tasks[ordinal];
    if (task.state != TaskState::kHeld) {
      continue;
    }
    const ShardPlan& shard = query.snapshot->plan->Shards()[ordinal];
    const ChoiceQuery choice_query = ChoiceFor(query, task);
    const Choice choice = m_chooser.Choose(shard, choice_query, m_now);
    if (choice.kind == ChoiceKind::kNone) {
      OnNoReplica(query, ordinal);
      continue;
    }
    // If all replicas are busy, the cost includes waiting for one of them.
    const std::uint32_t replica = choice.replica;
    double cost =
        m_chooser.CostOf(shard.replicas[replica], choice_query, m_now);
    cost *= 1 + static_cast<double>(shard.waiting.size());
    ++samples;
    if (!best || cost < best_cost) {
      best = ordinal;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace bramleyspoke
