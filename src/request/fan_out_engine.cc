#include "request/fan_out_engine.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "request/slot_share.h"

namespace bramleyspoke {
namespace {

// Time reserved for the response to reach the caller: a tenth of the time
// left, at most 5 ms.
constexpr Duration kMaxResponseMargin = std::chrono::milliseconds(5);
constexpr int kResponseMarginDivisor = 10;
// Without a separator, prefix "x1" with number 23 and prefix "x12" with number
// 3 would give the same attempt id.
constexpr char kNumberSeparator = '#';

TimePoint InternalDeadline(TimePoint deadline, TimePoint now) {
  const Duration left = deadline - now;
  return deadline - std::min(kMaxResponseMargin, left / kResponseMarginDivisor);
}

std::optional<AttemptNumber> ParseAttemptNumber(const std::string& attempt_id,
                                                const std::string& prefix) {
  if (attempt_id.compare(0, prefix.size(), prefix) != 0) {
    return std::nullopt;
  }
  AttemptNumber number = 0;
  const char* end = attempt_id.data() + attempt_id.size();
  const auto [rest, error] =
      std::from_chars(attempt_id.data() + prefix.size(), end, number);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::unique_ptr<QueryEngine> QueryEngine::Create(
    std::shared_ptr<const ServiceRoute> route,
    std::string attempt_prefix,
    std::uint64_t seed,
    EngineOptions options) {
  return std::make_unique<FanOutEngine>(
      std::move(route), std::move(attempt_prefix), seed, std::move(options));
}

FanOutEngine::FanOutEngine(std::shared_ptr<const ServiceRoute> route,
                           std::string attempt_prefix,
                           std::uint64_t seed,
                           EngineOptions options)
    : m_attempt_prefix(std::move(attempt_prefix) + kNumberSeparator),
      m_options(std::move(options)),
      m_chooser(m_replica_table, seed),
      m_hedges(m_options.hedge_mode, m_options.fixed_hedge_delay) {
  ApplyRoute(std::move(route), true);
}

EngineActions FanOutEngine::Submit(QueryNumber number,
                                   SearchRequest request,
                                   TimePoint now) {
  BeginEvent(now);
  auto owned = std::make_unique<Query>();
  Query& query = *owned;
  m_queries[number] = std::move(owned);
  ++m_counters.queries;
  query.number = number;
  query.request = std::move(request);
  query.route = m_route;
  query.internal_deadline = InternalDeadline(query.request.deadline, now);
  query.fingerprint = FingerprintOf(m_route->spec.name, query.request.query,
                                    query.request.limit);
  if (query.request.limit > m_route->spec.max_hits) {
    RefuseQuery(query, RefusalReason::kTooLarge,
                "limit is at most " + std::to_string(m_route->spec.max_hits));
  } else if (m_queries.size() > Admission::kMaxQueriesInFlight) {
    RefuseQuery(query, RefusalReason::kOverloaded,
                "too many queries are under way", Admission::kRetryAfter);
  } else if (query.internal_deadline <= now) {
    RefuseQuery(query, RefusalReason::kDeadlinePassed, "no time is left");
  } else {
    m_deadlines.Add({query.internal_deadline, number, TimerKind::kDeadline});
    StartQuery(query);
  }
  return EndEvent();
}

EngineActions FanOutEngine::OnAttempt(const std::string& attempt_id,
                                      AttemptOutcome outcome,
                                      TimePoint now) {
  BeginEvent(now);
  const auto number = ParseAttemptNumber(attempt_id, m_attempt_prefix);
  const auto found = number ? m_attempts.find(*number) : m_attempts.end();
  if (found == m_attempts.end()) {
    return EndEvent();
  }
  const AttemptRecord record = std::move(found->second);
  m_attempts.erase(found);
  --m_replica_table.At(record.leaf).in_flight;
  ObserveLeaf(record, outcome);
  ObserveCrash(record, outcome);
  Query* query = FindQuery(record.query);
  if (query != nullptr) {
    ApplyOutcome(*query, *number, record, std::move(outcome));
  } else if (outcome.result == AttemptResult::kAnswered) {
    ++m_counters.late_answers;
  }
  ReviewHeldQueries(record.fingerprint);
  DispatchWaitingForLeaf(record.leaf);
  return EndEvent();
}

EngineActions FanOutEngine::OnLeafStatus(const Endpoint& endpoint,
                                         std::optional<LeafStatus> status,
                                         TimePoint now) {
  BeginEvent(now);
  const std::optional<LeafIndex> leaf = m_replica_table.Find(endpoint);
  if (!leaf) {
    return EndEvent();
  }
  if (status && status->incarnation != m_replica_table.At(*leaf).incarnation) {
    m_guard.OnLeafAnswered(*leaf, status->incarnation, now);
  }
  const bool has_changed = m_replica_table.OnStatus(*leaf, status, now);
  if (status && status->draining) {
    OnLeafDraining(*leaf, status->incarnation);
  }
  if (has_changed) {
    OnLeafChanged(*leaf);
  } else {
    StartQueriesAwaitingSnapshot();
  }
  return EndEvent();
}

EngineActions FanOutEngine::OnRoute(std::shared_ptr<const ServiceRoute> route,
                                    TimePoint now) {
  BeginEvent(now);
  ApplyRoute(std::move(route), false);
  StartQueriesAwaitingSnapshot();
  for (const auto* plans : {&m_plans, &m_old_plans}) {
    for (const std::shared_ptr<LayoutPlan>& plan : *plans) {
      for (ShardPlan& shard : plan->Shards()) {
        DispatchWaiting(shard);
      }
    }
  }
  return EndEvent();
}

EngineActions FanOutEngine::OnCallerDisconnected(QueryNumber number,
                                                 TimePoint now) {
  BeginEvent(now);
  Query* query = FindQuery(number);
  if (query != nullptr && query->IsIdempotent() && !query->IsOver()) {
    RefuseQuery(*query, RefusalReason::kLost, "the caller has gone");
  }
  return EndEvent();
}

EngineActions FanOutEngine::OnPeerEvidence(const CrashEvidence& evidence,
                                           TimePoint now) {
  BeginEvent(now);
  m_guard.OnPeerEvidence(evidence, now);
  ReviewHeldQueries(evidence.fingerprint);
  return EndEvent();
}

EngineActions FanOutEngine::OnPeerDrain(const DrainNotice& notice,
                                        TimePoint now) {
  BeginEvent(now);
  const std::optional<LeafIndex> leaf = m_replica_table.Find(notice.leaf);
  if (leaf && m_replica_table.OnDrain(*leaf, notice.incarnation, now)) {
    OnLeafChanged(*leaf);
  }
  return EndEvent();
}

EngineActions FanOutEngine::OnTimer(TimePoint now) {
  BeginEvent(now);
  while (const std::optional<QueryTimer> timer = m_timers.PopDue(now)) {
    RunTimer(*timer);
  }
  return EndEvent();
}

std::optional<TimePoint> FanOutEngine::NextTimer() const {
  std::optional<TimePoint> next;
  for (const TimerQueue* queue : {&m_deadlines, &m_timers}) {
    if (const QueryTimer* top = queue->Top()) {
      next = next ? std::min(*next, top->at) : top->at;
    }
  }
  return next;
}

std::vector<CrashEvidence> FanOutEngine::TakeEvidence() {
  return m_guard.TakeEvidence();
}

std::vector<DrainNotice> FanOutEngine::TakeDrains() {
  return std::exchange(m_new_drains, {});
}

// After a pause of the process, an event may arrive before the timers of
// deadlines that passed meanwhile. These queries are marked first, so that no
// attempt is sent for them. They finish in `ProcessChangedQueries`, after the
// event has been applied: finishing a query can send attempts of others, which
// must take the event into account.
void FanOutEngine::BeginEvent(TimePoint now) {
  m_now = now;
  m_actions = EngineActions{};
  while (const std::optional<QueryTimer> timer = m_deadlines.PopDue(now)) {
    if (Query* query = FindQuery(timer->query)) {
      query->is_past_deadline = true;
      m_changed_queries.push_back(query->number);
    }
  }
}

EngineActions FanOutEngine::EndEvent() {
  ProcessChangedQueries();
  for (TimerQueue* queue : {&m_deadlines, &m_timers}) {
    while (queue->Top() != nullptr &&
           FindQuery(queue->Top()->query) == nullptr) {
      queue->Pop();
    }
  }
  return std::move(m_actions);
}

void FanOutEngine::RunTimer(const QueryTimer& timer) {
  Query* query = FindQuery(timer.query);
  if (query == nullptr || query->IsOver()) {
    return;
  }
  switch (timer.kind) {
    case TimerKind::kSnapshot:
      if (query->snapshot) {
        break;
      }
      if (CurrentSnapshot()) {
        StartOnSnapshot(*query, *CurrentSnapshot());
      } else {
        RefuseQuery(*query, RefusalReason::kNoSnapshot,
                    "no index version is known yet", std::chrono::seconds(1));
      }
      break;
    case TimerKind::kHedge:
      RunHedges(*query);
      break;
    case TimerKind::kRetry:
      RunRetries(*query);
      break;
    case TimerKind::kCanary:
      if (query->is_held) {
        HedgeCanaries(*query);
      }
      RunCanary(*query);
      break;
    case TimerKind::kDeadline:
      break;
  }
}

void FanOutEngine::AddTimer(TimePoint at, const Query& query, TimerKind kind) {
  if (at < query.internal_deadline) {
    m_timers.Add({at, query.number, kind});
  }
}

void FanOutEngine::ApplyRoute(std::shared_ptr<const ServiceRoute> route,
                              bool is_first) {
  m_route = std::move(route);
  m_slot_share = SlotShare(*m_route);
  m_budget.SetPercent(m_route->spec.extra_load_percent);
  std::vector<std::shared_ptr<LayoutPlan>> reusable_plans = std::move(m_plans);
  reusable_plans.insert(reusable_plans.end(), m_old_plans.begin(),
                        m_old_plans.end());
  m_plans.clear();
  for (const Layout& layout : m_route->spec.layouts) {
    const auto same = std::find_if(
        reusable_plans.begin(), reusable_plans.end(),
        [&](const auto& plan) { return plan->Source() == layout; });
    if (same == reusable_plans.end()) {
      m_plans.push_back(LayoutPlan::Create(layout, m_options.region, !is_first,
                                           m_replica_table, m_now));
    } else {
      m_plans.push_back(*same);
      reusable_plans.erase(same);
    }
  }
  m_old_plans = std::move(reusable_plans);
  m_is_snapshot_stale = true;
  m_snapshot.reset();
  RemoveUnusedPlans();
  m_replica_table.SetLeaving(m_route->leaving);
}

void FanOutEngine::RemoveUnusedPlans() {
  std::erase_if(m_old_plans, [this](const std::shared_ptr<LayoutPlan>& plan) {
    const bool is_unused = plan.use_count() == 1;
    if (is_unused) {
      plan->RemoveFromLeafs(m_replica_table);
    }
    return is_unused;
  });
  for (const LeafIndex leaf : m_replica_table.RemoveUnused()) {
    m_guard.ForgetLeaf(leaf);
  }
}

void FanOutEngine::OnLeafChanged(LeafIndex leaf) {
  m_is_snapshot_stale = true;
  StartQueriesAwaitingSnapshot();
  DispatchWaitingForLeaf(leaf);
}

void FanOutEngine::OnLeafDraining(LeafIndex leaf,
                                  const std::string& incarnation) {
  const std::string drained =
      incarnation.empty() ? m_replica_table.At(leaf).incarnation : incarnation;
  if (m_replica_table.OnDrain(leaf, drained, m_now)) {
    m_new_drains.push_back({m_replica_table.At(leaf).endpoint, drained});
    OnLeafChanged(leaf);
  }
}

}  // namespace bramleyspoke
