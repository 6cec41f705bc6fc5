#include "request/fan_out_engine.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "request/slot_share.h"

namespace bramleyspoke {
namespace {

// Time reserved for the response to reach the caller: a tenth of the time
// left, at most 5 ms.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(5);
constexpr int kAnswerMarginShare = 10;
// Without a separator, prefix "x1" with number 23 and prefix "x12" with number
// 3 would give the same attempt id.
constexpr char kBeforeNumber = '#';

TimePoint EndBy(TimePoint deadline, TimePoint now) {
  const Duration left = deadline - now;
  return deadline - std::min(kAnswerMargin, left / kAnswerMarginShare);
}

std::optional<AttemptNumber> NumberIn(const std::string& attempt_id,
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
    : m_prefix(std::move(attempt_prefix) + kBeforeNumber),
      m_options(std::move(options)),
      m_chooser(m_book, seed),
      m_hedges(m_options.hedge_mode, m_options.fixed_hedge_delay) {
  ApplyRoute(std::move(route), true);
}

EngineActions FanOutEngine::Submit(QueryNumber number,
                                   SearchRequest request,
                                   TimePoint now) {
  Begin(now);
  auto owned = std::make_unique<Query>();
  Query& query = *owned;
  m_queries[number] = std::move(owned);
  ++m_counters.queries;
  query.number = number;
  query.request = std::move(request);
  query.route = m_route;
  query.end_by = EndBy(query.request.deadline, now);
  query.fingerprint = FingerprintOf(m_route->spec.name, query.request.query,
                                    query.request.limit);
  if (query.request.limit > m_route->spec.max_hits) {
    EndWith(query, RefusalReason::kTooLarge,
            "limit is at most " + std::to_string(m_route->spec.max_hits));
  } else if (m_queries.size() > Admission::kMostQueries) {
    EndWith(query, RefusalReason::kOverloaded, "too many queries are under way",
            Admission::kRetryAfter);
  } else if (query.end_by <= now) {
    EndWith(query, RefusalReason::kDeadlinePassed, "no time is left");
  } else {
    m_deadlines.Add({query.end_by, number, TimerKind::kDeadline});
    Start(query);
  }
  return End();
}

EngineActions FanOutEngine::OnAttempt(const std::string& attempt_id,
                                      AttemptOutcome outcome,
                                      TimePoint now) {
  Begin(now);
  const auto number = NumberIn(attempt_id, m_prefix);
  const auto found = number ? m_attempts.find(*number) : m_attempts.end();
  if (found == m_attempts.end()) {
    return End();
  }
  const AttemptRecord record = std::move(found->second);
  m_attempts.erase(found);
  --m_book.At(record.leaf).in_flight;
  ObserveLeaf(record, outcome);
  ObserveCrash(record, outcome);
  Query* query = Find(record.query);
  if (query != nullptr) {
    ApplyOutcome(*query, *number, record, std::move(outcome));
  } else if (outcome.result == AttemptResult::kAnswered) {
    ++m_counters.late_answers;
  }
  ReviewHeld(record.fingerprint);
  PumpLeaf(record.leaf);
  return End();
}

EngineActions FanOutEngine::OnLeafStatus(const Endpoint& endpoint,
                                         std::optional<LeafStatus> status,
                                         TimePoint now) {
  Begin(now);
  const std::optional<LeafIndex> leaf = m_book.Find(endpoint);
  if (!leaf) {
    return End();
  }
  if (status && status->incarnation != m_book.At(*leaf).incarnation) {
    m_guard.OnLeafAlive(*leaf, status->incarnation, now);
  }
  const bool has_changed = m_book.OnStatus(*leaf, status, now);
  if (status && status->draining) {
    NoteDrain(*leaf, status->incarnation);
  }
  if (has_changed) {
    OnLeafChanged(*leaf);
  } else {
    StartUnstarted();
  }
  return End();
}

EngineActions FanOutEngine::OnRoute(std::shared_ptr<const ServiceRoute> route,
                                    TimePoint now) {
  Begin(now);
  ApplyRoute(std::move(route), false);
  StartUnstarted();
  for (const auto* plans : {&m_plans, &m_old_plans}) {
    for (const std::shared_ptr<LayoutPlan>& plan : *plans) {
      for (ShardPlan& shard : plan->Shards()) {
        Pump(shard);
      }
    }
  }
  return End();
}

EngineActions FanOutEngine::OnCallerGone(QueryNumber number, TimePoint now) {
  Begin(now);
  Query* query = Find(number);
  if (query != nullptr && query->IsIdempotent() && !query->IsOver()) {
    EndWith(*query, RefusalReason::kLost, "the caller has gone");
  }
  return End();
}

EngineActions FanOutEngine::OnPeerEvidence(const CrashEvidence& evidence,
                                           TimePoint now) {
  Begin(now);
  m_guard.OnPeerEvidence(evidence, now);
  ReviewHeld(evidence.fingerprint);
  return End();
}

EngineActions FanOutEngine::OnPeerDrain(const DrainNotice& notice,
                                        TimePoint now) {
  Begin(now);
  const std::optional<LeafIndex> leaf = m_book.Find(notice.leaf);
  if (leaf && m_book.OnDrain(*leaf, notice.incarnation, now)) {
    OnLeafChanged(*leaf);
  }
  return End();
}

EngineActions FanOutEngine::OnTimer(TimePoint now) {
  Begin(now);
  while (const std::optional<QueryTimer> timer = m_timers.PopDue(now)) {
    RunTimer(*timer);
  }
  return End();
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
  return std::exchange(m_drains, {});
}

// After a process stall, an event may arrive before the timers of deadlines
// that passed meanwhile. These queries are marked first, so that no attempt is
// sent for them. They finish in `Settle`, after the event has been applied:
// finishing a query can send attempts of others, which must take the event into
// account.
void FanOutEngine::Begin(TimePoint now) {
  m_now = now;
  m_actions = EngineActions{};
  while (const std::optional<QueryTimer> timer = m_deadlines.PopDue(now)) {
    if (Query* query = Find(timer->query)) {
      query->is_expired = true;
      m_touched.push_back(query->number);
    }
  }
}

EngineActions FanOutEngine::End() {
  Settle();
  for (TimerQueue* queue : {&m_deadlines, &m_timers}) {
    while (queue->Top() != nullptr && Find(queue->Top()->query) == nullptr) {
      queue->Pop();
    }
  }
  return std::move(m_actions);
}

void FanOutEngine::RunTimer(const QueryTimer& timer) {
  Query* query = Find(timer.query);
  if (query == nullptr || query->IsOver()) {
    return;
  }
  switch (timer.kind) {
    case TimerKind::kSnapshot:
      if (query->snapshot) {
        break;
      }
      if (CurrentSnapshot()) {
        StartOn(*query, *CurrentSnapshot());
      } else {
        EndWith(*query, RefusalReason::kNoSnapshot,
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
  if (at < query.end_by) {
    m_timers.Add({at, query.number, kind});
  }
}

void FanOutEngine::ApplyRoute(std::shared_ptr<const ServiceRoute> route,
                              bool is_first) {
  m_route = std::move(route);
  m_slot_share = SlotShare(*m_route);
  m_budget.SetPercent(m_route->spec.extra_load_percent);
  std::vector<std::shared_ptr<LayoutPlan>> known = std::move(m_plans);
  known.insert(known.end(), m_old_plans.begin(), m_old_plans.end());
  m_plans.clear();
  for (const Layout& layout : m_route->spec.layouts) {
    const auto same = std::find_if(
        known.begin(), known.end(),
        [&](const auto& plan) { return plan->Source() == layout; });
    if (same == known.end()) {
      m_plans.push_back(LayoutPlan::Create(layout, m_options.region, !is_first,
                                           m_book, m_now));
    } else {
      m_plans.push_back(*same);
      known.erase(same);
    }
  }
  m_old_plans = std::move(known);
  m_is_snapshot_stale = true;
  m_snapshot.reset();
  SweepPlans();
  m_book.SetLeaving(m_route->leaving);
}

void FanOutEngine::SweepPlans() {
  std::erase_if(m_old_plans, [this](const std::shared_ptr<LayoutPlan>& plan) {
    const bool is_unused = plan.use_count() == 1;
    if (is_unused) {
      plan->Unlink(m_book);
    }
    return is_unused;
  });
  for (const LeafIndex leaf : m_book.Sweep()) {
    m_guard.ForgetLeaf(leaf);
  }
}

void FanOutEngine::OnLeafChanged(LeafIndex leaf) {
  m_is_snapshot_stale = true;
  StartUnstarted();
  PumpLeaf(leaf);
}

void FanOutEngine::NoteDrain(LeafIndex leaf, const std::string& incarnation) {
  const std::string drained =
      incarnation.empty() ? m_book.At(leaf).incarnation : incarnation;
  if (m_book.OnDrain(leaf, drained, m_now)) {
    m_drains.push_back({m_book.At(leaf).endpoint, drained});
    OnLeafChanged(leaf);
  }
}

}  // namespace bramleyspoke
