#include <algorithm>
#include <utility>

#include "request/fan_out_admission.h"
#include "request/neglected_leaf.h"
#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Delay before a hedge that could not start is considered again: the retry
// budget was exhausted, or no leaf could take it.
constexpr Duration kHedgeRetryDelay = std::chrono::milliseconds(15);
// Estimated number of requests at a leaf at and above which it gets no hedge.
constexpr double kMaxHedgeOccupancy = 4;
// Time for the reply of a leaf that gave an attempt up to arrive before a
// planned stop ends: it says whether the request has run.
constexpr Duration kGiveUpReplyTime = std::chrono::milliseconds(50);

}  // namespace

void RelayEngine::AddPart(Request& request, const std::string& service) {
  Part& part = request.parts.emplace_back();
  const std::size_t index = request.parts.size() - 1;
  part.service = &m_leaf_table.Service(service);
  part.quota = AttemptQuota(request.MatchedRoute().max_attempts);
  if (index < request.request.bypassable.size() &&
      request.request.bypassable[index]) {
    // The delegating daemon may not know of changes for as long.
    part.shared_since = m_now - kLeafSetSettleTime;
  }
  const bool is_credited = index < request.request.credited.size() &&
                           request.request.credited[index];
  if (request.request.is_for_peer) {
    part.max_credit = is_credited ? 0 : 1 - kDelegatorBudgetShare;
  }
}

bool RelayEngine::IsSuspect(const Request& request, const Part& part) const {
  return m_crashes.IsSuspect(request.PartAt(*part.service), m_now);
}

LeafScope RelayEngine::FirstScope(const Request& request) {
  return request.MatchedRoute().IsFanOut() && !request.request.is_for_peer
             ? LeafScope::kDelegable
             : LeafScope::kAny;
}

// In bursts of requests, or if the leafs of shards are all unavailable, a
// request that cannot be served is refused before its first attempt, so that
// the verdict "not run" is true.
bool RelayEngine::RefuseIfUnservable(Request& request) {
  const Route& route = request.MatchedRoute();
  if (IsPastAcceptance()) {
    FinishRefused(request, {RefusalReason::kShuttingDown, Verdict::kNotRun,
                            kStoppingRetryAfter});
    return true;
  }
  if (request.request.is_for_peer && !m_contact.IsInContact()) {
    FinishRefused(request, RefusalWithoutLeafs(request));
    return true;
  }
  std::size_t without_leaf = 0;
  std::size_t suspect = 0;
  std::size_t most_waiting = 0;
  FanOutAdmission admission;
  for (const Part& part : request.parts) {
    if (IsSuspect(request, part)) {
      ++suspect;
      m_crashes.ReportIfSuspect(request.PartAt(*part.service), m_now);
      continue;
    }
    const LeafChoice choice =
        ChooseLeaf(*part.service, route.name, {}, m_now, FirstScope(request));
    const bool is_servable = choice.leaf || choice.is_full ||
                             (!choice.wait && CanHandOver(request, part));
    without_leaf += is_servable ? 0 : 1;
    if (is_servable) {
      admission.Add(choice.leaf
                        ? choice.leaf->load.ExpectedLatency(route.name, m_now)
                        : Duration::zero());
    }
    most_waiting = std::max(most_waiting, part.service->waiting.size());
  }
  const auto shards = static_cast<double>(request.parts.size());
  const double unsuspected = shards - static_cast<double>(suspect);
  const double reachable = unsuspected - static_cast<double>(without_leaf);
  const double needed = route.IsFanOut() ? route.min_coverage * shards : 1;
  m_counters.crash_refusals += suspect;
  if (unsuspected == 0 || unsuspected < needed) {
    FinishRefused(request, {RefusalReason::kCrashSuspect,
                            VerdictOfParts(request), std::nullopt});
    return true;
  }
  if (reachable == 0 || reachable < needed) {
    FinishRefused(request, RefusalWithoutLeafs(request));
    return true;
  }
  const TimePoint due =
      std::min(request.request.answer_by, request.request.deadline);
  const auto retry_after = admission.RetryAfter(needed, due - m_now);
  if (route.IsFanOut() && !request.request.is_for_peer && retry_after) {
    ++m_counters.late_refusals;
    FinishRefused(request, {RefusalReason::kOverloaded, VerdictOfParts(request),
                            retry_after});
    return true;
  }
  if (m_requests.size() > kMaxRequests || most_waiting > kMaxWaitingParts) {
    FinishRefused(request, {RefusalReason::kOverloaded, VerdictOfParts(request),
                            kOverloadedRetryAfter});
    return true;
  }
  return false;
}

// A request is not kept until the leafs accept more: others that arrive
// meanwhile would be refused in its place, and its caller would wait for
// longer.
RelayRefusal RelayEngine::RefusalWithoutLeafs(const Request& request) const {
  if (request.is_ended_by_stop) {
    return {RefusalReason::kShuttingDown, VerdictOfParts(request),
            kOverloadedRetryAfter};
  }
  std::optional<LeafWait> first;
  for (const Part& part : request.parts) {
    const LeafChoice choice =
        ChooseLeaf(*part.service, request.MatchedRoute().name, {}, m_now);
    if (choice.wait && !choice.leaf && !choice.is_full &&
        (!first || choice.wait->until < first->until)) {
      first = choice.wait;
    }
  }
  const Verdict verdict = VerdictOfParts(request);
  if (!first) {
    return {RefusalReason::kNoReplica, verdict, kUnavailableRetryAfter};
  }
  const RefusalReason reason = first->state == LeafState::kPaused
                                   ? RefusalReason::kLeafPaused
                                   : RefusalReason::kLeafRateLimit;
  return {reason, verdict, first->until - m_now};
}

// Each near leaf stalls now and then, and responses of far leafs cost bandwidth
// between regions. A near leaf that would be best without its predicted stall
// is therefore chosen for the first attempt if there is still time for the far
// leaf to respond after it.
LeafChoice RelayEngine::SelectLeaf(const Request& request,
                                   const Part& part,
                                   LeafScope scope) const {
  const std::string& route_name = request.MatchedRoute().name;
  const auto tried = part.TriedLeafs();
  const LeafChoice best =
      ChooseLeaf(*part.service, route_name, tried, m_now, scope);
  if (!best.leaf || !part.tried.empty()) {
    return best;
  }
  if (best.leaf->is_near) {
    // An attempt that is delegated doesn't reach the leaf from this daemon.
    const bool may_visit = scope == LeafScope::kAny && request.IsIdempotent() &&
                           !request.IsOnTrial();
    const auto neglected =
        may_visit ? FindNeglectedLeaf(*part.service, route_name,
                                      request.request.answer_by, m_now)
                  : nullptr;
    return neglected ? LeafChoice{neglected, false, std::nullopt} : best;
  }
  const LeafChoice near =
      ChooseLeaf(*part.service, route_name, tried, m_now, LeafScope::kNear);
  if (!near.leaf) {
    return best;
  }
  const Duration far_cost = best.leaf->load.Cost(route_name, m_now);
  const Duration near_cost = near.leaf->load.Cost(route_name, m_now);
  const Duration stall = near.leaf->load.PredictedStallDelay(route_name, m_now);
  const bool is_best_but_for_stall = near_cost - stall <= far_cost;
  const bool has_time =
      m_now + near_cost + far_cost <= request.request.answer_by;
  return is_best_but_for_stall && has_time ? near : best;
}

void RelayEngine::DispatchPart(Request& request, std::size_t index) {
  Part& part = request.parts[index];
  if (part.IsSent()) {
    return;
  }
  if (!MayReachAnotherLeaf(request, part)) {
    FailUnlessOutstanding(part);
    return;
  }
  if (IsTooLateToSend(request, part)) {
    request.is_ended_by_stop = true;
    FailUnlessOutstanding(part);
    return;
  }
  if (!AdmitAttempt(request, part)) {
    return;
  }
  const LeafChoice choice = SelectLeaf(request, part);
  if (!choice.leaf) {
    if (choice.is_full) {
      Enqueue(request, index);
    } else if (!MarkForHandOver(request, part)) {
      m_counters.leaf_wait_refusals += choice.wait ? 1 : 0;
      FailUnlessOutstanding(part);
    }
    return;
  }
  if (!part.is_next_attempt_free && !TakeRetryToken(part)) {
    ++m_counters.budget_refusals;
    if (IsLimitedByStop(request)) {
      request.is_ended_by_stop = true;
      FailUnlessOutstanding(part);
    } else if (request.IsLate(m_now)) {
      FailUnlessOutstanding(part);
    } else {
      HoldOrFail(request, index,
                 choice.leaf->load.ExpectedLatency(request.MatchedRoute().name,
                                                   m_now));
    }
    return;
  }
  if (!part.is_next_attempt_free) {
    ++m_counters.retries;
    ++request.retries_and_hedges;
  }
  StartAttempt(request, index, choice.leaf);
}

void RelayEngine::StartAttempt(Request& request,
                               std::size_t index,
                               const std::shared_ptr<RelayLeaf>& leaf) {
  Part& part = request.parts[index];
  const RelayAttemptNumber number = ++m_last_attempt;
  Attempt attempt;
  attempt.request = request.number;
  attempt.part = index;
  attempt.leaf = leaf;
  attempt.service = part.service;
  attempt.request_part = request.PartAt(*part.service);
  attempt.route_name = request.MatchedRoute().name;
  attempt.sent_at = m_now;
  attempt.leaf_deadline = LeafDeadline(request);
  attempt.is_trial = request.is_doubtful || !part.is_next_attempt_free;
  leaf->load.OnSent(m_now);
  m_contact.OnSent(m_now);
  leaf->rate_limit.OnSent(m_now);
  leaf->last_sent_at = m_now;
  leaf->sends_of_service = ++part.service->sends;
  part.outstanding.push_back(number);
  part.quota.OnStarted();
  part.tried.push_back(leaf);
  part.is_next_attempt_free = false;
  ++part.attempts;
  ++request.attempts;
  ++m_counters.sends;
  part.hedge_at = HedgeTime(request, part, attempt);
  m_actions.sends.push_back({request.number, number, leaf->registration.id,
                             leaf->registration.address,
                             request.request.deadline, attempt.leaf_deadline});
  m_attempts.emplace(number, std::move(attempt));
}

// A part that is answered after the answer is due is of use only if the request
// lacks coverage then. If work queues up, leafs that went on with such parts
// would answer all later ones too late as well.
TimePoint RelayEngine::LeafDeadline(const Request& request) const {
  const RelayRequest& asked = request.request;
  const bool is_bounded = request.MatchedRoute().IsFanOut() &&
                          request.IsIdempotent() && m_now < asked.answer_by;
  const TimePoint latest =
      is_bounded ? std::min(asked.deadline, asked.answer_by) : asked.deadline;
  return IsLimitedByStop(request)
             ? std::min(latest, asked.deadline - kGiveUpReplyTime)
             : latest;
}

// A part has at most one entry in the queue: an outdated one would count
// towards `kMaxWaitingParts` until it reached the head.
void RelayEngine::Enqueue(Request& request, std::size_t index) {
  Dequeue(request, index);
  Part& part = request.parts[index];
  part.waiting = WaitingPart{request.MatchedRoute().priority, ++m_last_sequence,
                             request.number, index};
  part.service->waiting.insert(*part.waiting);
}

void RelayEngine::Dequeue(Request& request, std::size_t index) {
  Part& part = request.parts[index];
  if (part.waiting) {
    part.service->waiting.erase(*part.waiting);
    part.waiting.reset();
  }
}

void RelayEngine::DispatchWaiting(RelayService& service) {
  while (!service.waiting.empty()) {
    const WaitingPart next = *service.waiting.begin();
    Request* request = FindRequest(next.request);
    if (request == nullptr) {
      service.waiting.erase(service.waiting.begin());
      continue;
    }
    Part& part = request->parts[next.part];
    if (part.waiting != next) {
      service.waiting.erase(service.waiting.begin());
      continue;
    }
    const LeafChoice choice = ChooseLeaf(service, request->MatchedRoute().name,
                                         part.TriedLeafs(), m_now);
    if (!choice.leaf && choice.is_full) {
      return;
    }
    Dequeue(*request, next.part);
    DispatchPart(*request, next.part);
    MarkForUpdate(next.request);
  }
}

std::optional<TimePoint> RelayEngine::HedgeTime(const Request& request,
                                                const Part& part,
                                                const Attempt& attempt) const {
  if (!request.IsIdempotent() || part.outstanding.size() > 1 ||
      part.tried.size() >= request.MatchedRoute().max_attempts) {
    return std::nullopt;
  }
  const LeafLoad& load = attempt.leaf->load;
  return m_now + load.OverdueAfter(attempt.route_name) +
         load.PredictedStallDelay(attempt.route_name, m_now);
}

// A leaf that stalls delays all requests sent to it shortly before; a hedge
// lets another leaf respond.
void RelayEngine::Hedge(Request& request, std::size_t index) {
  Part& part = request.parts[index];
  if (request.AwaitsFirstAnswer()) {
    part.hedge_at = m_now;
    return;
  }
  const std::size_t out = part.outstanding.size() + (part.delegation ? 1 : 0);
  if (part.delegation && part.hand_overs > 0) {
    HandOverElsewhere(request, *part.delegation);
    return;
  }
  if (out != 1 || request.IsOnTrial() || !MayReachAnotherLeaf(request, part)) {
    return;
  }
  const LeafChoice choice = ChooseLeaf(
      *part.service, request.MatchedRoute().name, part.TriedLeafs(), m_now);
  const bool can_take = choice.leaf && CanTakeHedge(request, *choice.leaf);
  if (!can_take || !part.service->budget.TakeForHedge()) {
    part.hedge_at = m_now + kHedgeRetryDelay;
    return;
  }
  ++m_counters.hedges;
  ++request.retries_and_hedges;
  ++part.hedges;
  StartAttempt(request, index, choice.leaf);
}

// While all leafs are full, hedges only add to their queues.
bool RelayEngine::CanTakeHedge(const Request& request,
                               const RelayLeaf& leaf) const {
  const LeafLoad& load = leaf.load;
  if (!load.IsUsable(m_now) || load.IsSilent(m_now) ||
      load.Occupancy(m_now) >= kMaxHedgeOccupancy) {
    return false;
  }
  const TimePoint expected =
      m_now + load.Cost(request.MatchedRoute().name, m_now);
  return m_now >= request.request.answer_by ||
         expected < request.request.answer_by;
}

}  // namespace bramleyspoke
