#include "request/relay_engine.h"

#include <algorithm>
#include <utility>

#include "request/coverage_wait.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// How long an attempt may go on when its reply is no longer needed. Cancelling
// closes the connection, which costs the leaf a new one, and most replies
// arrive within this time.
constexpr Duration kCancelDelay = std::chrono::milliseconds(200);

}  // namespace

RelayEngine::RelayEngine(const Locality& locality,
                         const RetryAllowance& allowance)
    : m_leaf_table(locality, allowance), m_peers(locality.region) {}

RelayEngine::~RelayEngine() = default;

RelayActions RelayEngine::Submit(RelayNumber number,
                                 RelayRequest submitted,
                                 TimePoint now) {
  m_now = now;
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.number = number;
  request.request = std::move(submitted);
  LimitToStop(request);
  const Route& route = request.MatchedRoute();
  if (route.IsFanOut()) {
    for (const std::string& shard : route.shards) {
      AddPart(request, shard);
    }
  } else {
    const std::size_t place = route.services.size() > 1
                                  ? m_rotation.Next(route.name, route.services)
                                  : 0;
    AddPart(request, route.services.at(place).service);
  }
  m_requests.emplace(number, std::move(owned));
  if (!RefuseIfUnservable(request)) {
    BeginTrialIfDoubtful(request);
    if (!request.is_doubtful) {
      SendParts(request);
    }
    MarkForUpdate(number);
  }
  return FinishEvent();
}

void RelayEngine::SendParts(Request& request) {
  DelegateParts(request);
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    Part& part = request.parts[index];
    if (part.IsUnsent() && !MarkForHandOver(request, part)) {
      CreditRetryBudget(part, 1);
      DispatchPart(request, index);
    }
  }
}

// A part that a peer gave back, or that goes to one peer after the other, is
// the same request to its service.
void RelayEngine::CreditRetryBudget(Part& part, double share) {
  const double credit = std::min(share, part.max_credit);
  if (credit > part.credit) {
    CreditBudget(*part.service, credit - part.credit);
    part.credit = credit;
  }
}

RelayActions RelayEngine::OnReply(RelayAttemptNumber number,
                                  LeafReply reply,
                                  TimePoint now) {
  m_now = now;
  const auto found = m_attempts.find(number);
  if (found == m_attempts.end()) {
    return FinishEvent();
  }
  const Attempt attempt = std::move(found->second);
  m_attempts.erase(found);
  RecordReply(attempt, reply);
  if (Request* request = FindRequest(attempt.request)) {
    Part& part = request->parts[attempt.part];
    std::erase(part.outstanding, number);
    ApplyReply(*request, attempt, std::move(reply));
    MarkForUpdate(attempt.request);
  }
  DispatchWaiting(*attempt.service);
  return FinishEvent();
}

bool RelayEngine::MaySend(RelayAttemptNumber number, TimePoint now) const {
  const auto found = m_attempts.find(number);
  if (found == m_attempts.end()) {
    return false;
  }
  return IsWanted(*found->second.leaf, now);
}

bool RelayEngine::IsWanted(const RelayLeaf& leaf, TimePoint now) {
  const LeafState state = StateOf(leaf, now);
  return state != LeafState::kPaused && state != LeafState::kDrained &&
         state != LeafState::kGone;
}

RelayActions RelayEngine::OnCallerDisconnected(RelayNumber number,
                                               TimePoint now) {
  m_now = now;
  Request* request = FindRequest(number);
  if (request == nullptr) {
    return FinishEvent();
  }
  if (request->IsIdempotent()) {
    CancelAttempts(*request);
  }
  for (std::size_t index = 0; index < request->parts.size(); ++index) {
    Dequeue(*request, index);
  }
  Erase(*request);
  return FinishEvent();
}

RelayActions RelayEngine::OnTimer(TimePoint now) {
  m_now = now;
  if (m_contact.NextCheck() && *m_contact.NextCheck() <= now) {
    CheckContact();
  }
  while (!m_timers.empty() && m_timers.begin()->first <= now) {
    const RelayNumber number = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    if (Request* request = FindRequest(number)) {
      request->timer.reset();
      MarkForUpdate(number);
    }
  }
  while (!m_cancellations.empty() && m_cancellations.begin()->first <= now) {
    const RelayAttemptNumber number = m_cancellations.begin()->second;
    m_cancellations.erase(m_cancellations.begin());
    const auto delegation_state = m_delegations.find(number);
    if (delegation_state != m_delegations.end()) {
      delegation_state->second.peer->load.OnEnded(now);
      m_delegations.erase(delegation_state);
      m_actions.cancellations.push_back(number);
      continue;
    }
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
      continue;
    }
    const Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    RelayService& service = *attempt.service;
    attempt.leaf->load.OnEnded(now);
    RecordUnansweredAttempt(attempt);
    m_actions.cancellations.push_back(number);
    DispatchWaiting(service);
  }
  return FinishEvent();
}

RelayActions RelayEngine::SetTable(std::shared_ptr<const RouteTable> table,
                                   TimePoint now) {
  m_now = now;
  m_rotation.Retain(*table);
  m_leaf_table.SetRouteTable(std::move(table));
  return FinishEvent();
}

RelayActions RelayEngine::SetLeafs(const std::vector<LeafRegistration>& leafs,
                                   TimePoint now) {
  m_now = now;
  m_leaf_table.SetLeafs(leafs, now);
  m_crashes.OnLeafsChanged(now);
  for (const auto& [name, service] : m_leaf_table.Services()) {
    DispatchWaiting(*service);
  }
  return FinishEvent();
}

RelayActions RelayEngine::OnReachable(const Endpoint& address,
                                      bool is_reachable,
                                      TimePoint now,
                                      std::optional<TimePoint> tried_at) {
  m_now = now;
  if (!is_reachable && m_contact.IsBeforeReturn(tried_at.value_or(now))) {
    return FinishEvent();
  }
  m_leaf_table.OnReachable(address, is_reachable, now);
  if (is_reachable) {
    m_contact.OnConnected(address, now);
    ConfirmLeafLosses();
    CloseSilentConnections();
  } else {
    m_contact.OnConnectFailed(address, now);
    RecordLeafLoss(address);
  }
  return FinishEvent();
}

std::optional<TimePoint> RelayEngine::NextTimer() const {
  std::optional<TimePoint> next = m_contact.NextCheck();
  if (!m_timers.empty() && (!next || m_timers.begin()->first < *next)) {
    next = m_timers.begin()->first;
  }
  if (!m_cancellations.empty() &&
      (!next || m_cancellations.begin()->first < *next)) {
    next = m_cancellations.begin()->first;
  }
  return next;
}

std::vector<LeafNotice> RelayEngine::TakeLeafNotices() {
  return std::exchange(m_leaf_notices, {});
}

std::vector<FailedAttempt> RelayEngine::TakeFailedAttempts() {
  return std::exchange(m_failed_attempts, {});
}

// Updating a request may start attempts and finish it, and affects no other
// request.
RelayActions RelayEngine::FinishEvent() {
  ApplyContact();
  while (!m_marked_requests.empty()) {
    const RelayNumber number = *m_marked_requests.begin();
    m_marked_requests.erase(m_marked_requests.begin());
    if (Request* request = FindRequest(number)) {
      UpdateRequest(*request);
    }
  }
  if (m_contact.TakeProbeRequest()) {
    SendProbes();
  }
  return std::exchange(m_actions, {});
}

bool RelayEngine::Request::IsAtLeaf() const {
  return std::any_of(parts.begin(), parts.end(), [](const Part& part) {
    return !part.outstanding.empty();
  });
}

bool RelayEngine::Request::IsAtPeer() const {
  return std::any_of(parts.begin(), parts.end(), [](const Part& part) {
    return part.delegation || part.pending;
  });
}

RequestStages RelayEngine::Stages() const {
  RequestStages stages;
  for (const auto& [number, request] : m_requests) {
    if (request->IsAtLeaf()) {
      ++stages.at_leafs;
    } else if (request->IsAtPeer()) {
      ++stages.at_peers;
    } else {
      ++stages.waiting;
    }
  }
  return stages;
}

RelayEngine::Request* RelayEngine::FindRequest(RelayNumber number) {
  const auto found = m_requests.find(number);
  return found == m_requests.end() ? nullptr : found->second.get();
}

void RelayEngine::UpdateRequest(Request& request) {
  if (request.continuation_deadline) {
    if (!FinishIfExpired(request)) {
      ScheduleTimer(request);
    }
    return;
  }
  if (FinishIfDone(request)) {
    return;
  }
  EndWaitingParts(request);
  HandOverParts(request);
  ContinuePendingDelegations(request);
  ResumeHeldParts(request);
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    Part& part = request.parts[index];
    if (part.IsOpen() && part.retry_at && *part.retry_at <= m_now) {
      part.retry_at.reset();
      DispatchPart(request, index);
    }
    if (part.IsOpen() && part.hedge_at && *part.hedge_at <= m_now) {
      part.hedge_at.reset();
      Hedge(request, index);
    }
  }
  HandOverParts(request);
  EndOldHolds(request);
  if (!FinishIfDone(request)) {
    ScheduleTimer(request);
  }
}

void RelayEngine::ScheduleTimer(Request& request) {
  TimePoint next =
      request.continuation_deadline.value_or(request.request.deadline);
  const auto consider = [&](TimePoint at) {
    if (at > m_now) {
      next = std::min(next, at);
    }
  };
  if (request.MatchedRoute().IsFanOut()) {
    consider(request.request.answer_by);
    consider(request.request.answer_by + kLateWait);
  }
  for (const Part& part : request.parts) {
    if (!part.IsOpen()) {
      continue;
    }
    if (part.hedge_at) {
      consider(*part.hedge_at);
    }
    if (part.retry_at) {
      consider(*part.retry_at);
    }
    if (part.IsWaiting()) {
      consider(LatestSend(request, part).value_or(next));
    }
  }
  if (request.timer == next) {
    return;
  }
  if (request.timer) {
    m_timers.erase({*request.timer, request.number});
  }
  request.timer = next;
  m_timers.emplace(next, request.number);
}

void RelayEngine::CancelAttempts(Request& request) {
  for (const Part& part : request.parts) {
    for (const RelayAttemptNumber number : part.outstanding) {
      m_cancellations.emplace(m_now + kCancelDelay, number);
    }
    if (part.delegation) {
      m_cancellations.emplace(m_now, *part.delegation);
    }
  }
}

}  // namespace bramleyspoke
