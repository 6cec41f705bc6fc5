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
constexpr Duration kAbandonDelay = std::chrono::milliseconds(200);
// Maximum number of odd parts that a request's outcome describes.
constexpr std::size_t kMostOddParts = 8;
// How long an incomplete answer's request is kept for a peer's continuation.
constexpr Duration kLingerTime = std::chrono::milliseconds(100);

}  // namespace

RelayEngine::RelayEngine(const Locality& locality,
                         const RepeatAllowance& allowance)
    : m_book(locality, allowance), m_peers(locality.region) {}

RelayEngine::~RelayEngine() = default;

RelayActions RelayEngine::Submit(RelayNumber number,
                                 RelayRequest submitted,
                                 TimePoint now) {
  m_now = now;
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.number = number;
  request.request = std::move(submitted);
  const Route& route = request.TheRoute();
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
  if (!Refuse(request)) {
    DelegateParts(request);
    for (std::size_t index = 0; index < request.parts.size(); ++index) {
      if (!request.parts[index].delegation) {
        request.parts[index].service->budget.OnRequest(
            request.request.is_for_peer ? 1 - kDelegatorShare : 1);
        Place(request, index);
      }
    }
    Touch(number);
  }
  return End();
}

RelayActions RelayEngine::OnReply(SendNumber number,
                                  LeafReply reply,
                                  TimePoint now) {
  m_now = now;
  const auto found = m_sendings.find(number);
  if (found == m_sendings.end()) {
    return End();
  }
  const Sending sending = std::move(found->second);
  m_sendings.erase(found);
  Observe(sending, reply);
  if (Request* request = Find(sending.request)) {
    Part& part = request->parts[sending.part];
    std::erase(part.running, number);
    Apply(*request, sending.part, sending.leaf, std::move(reply));
    Touch(sending.request);
  }
  Pump(*sending.service);
  return End();
}

RelayActions RelayEngine::OnCallerGone(RelayNumber number, TimePoint now) {
  m_now = now;
  Request* request = Find(number);
  if (request == nullptr) {
    return End();
  }
  if (request->IsIdempotent()) {
    AbandonSends(*request);
  }
  for (std::size_t index = 0; index < request->parts.size(); ++index) {
    Dequeue(*request, index);
  }
  Erase(*request);
  return End();
}

RelayActions RelayEngine::OnTimer(TimePoint now) {
  m_now = now;
  while (!m_timers.empty() && m_timers.begin()->first <= now) {
    const RelayNumber number = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    if (Request* request = Find(number)) {
      request->timer.reset();
      Touch(number);
    }
  }
  while (!m_abandons.empty() && m_abandons.begin()->first <= now) {
    const SendNumber number = m_abandons.begin()->second;
    m_abandons.erase(m_abandons.begin());
    const auto delegated = m_delegated.find(number);
    if (delegated != m_delegated.end()) {
      delegated->second.peer->load.OnEnded(now);
      m_delegated.erase(delegated);
      m_actions.abandons.push_back(number);
      continue;
    }
    const auto found = m_sendings.find(number);
    if (found == m_sendings.end()) {
      continue;
    }
    found->second.leaf->load.OnEnded(now);
    RelayService& service = *found->second.service;
    m_sendings.erase(found);
    m_actions.abandons.push_back(number);
    Pump(service);
  }
  return End();
}

RelayActions RelayEngine::SetTable(std::shared_ptr<const RouteTable> table,
                                   TimePoint now) {
  m_now = now;
  m_rotation.Retain(*table);
  m_book.SetTable(std::move(table));
  return End();
}

RelayActions RelayEngine::SetLeafs(const std::vector<LeafRegistration>& leafs,
                                   TimePoint now) {
  m_now = now;
  m_book.SetLeafs(leafs, now);
  m_crashes.OnLeafsChanged(now);
  for (const auto& [name, service] : m_book.Services()) {
    Pump(*service);
  }
  return End();
}

RelayActions RelayEngine::OnReachable(const Endpoint& address,
                                      bool is_reachable,
                                      TimePoint now) {
  m_now = now;
  m_book.OnReachable(address, is_reachable, now);
  if (!is_reachable) {
    m_crashes.OnUnreachable(address, now);
  }
  return End();
}

std::optional<TimePoint> RelayEngine::NextTimer() const {
  std::optional<TimePoint> next;
  if (!m_timers.empty()) {
    next = m_timers.begin()->first;
  }
  if (!m_abandons.empty() && (!next || m_abandons.begin()->first < *next)) {
    next = m_abandons.begin()->first;
  }
  return next;
}

std::vector<RelaySendEnd> RelayEngine::TakeFailedSends() {
  return std::exchange(m_failed_sends, {});
}

// Updating a request may start attempts and finish it, and affects no other
// request.
RelayActions RelayEngine::End() {
  while (!m_touched.empty()) {
    const RelayNumber number = *m_touched.begin();
    m_touched.erase(m_touched.begin());
    if (Request* request = Find(number)) {
      Settle(*request);
    }
  }
  return std::exchange(m_actions, {});
}

RelayEngine::Request* RelayEngine::Find(RelayNumber number) {
  const auto found = m_requests.find(number);
  return found == m_requests.end() ? nullptr : found->second.get();
}

void RelayEngine::Settle(Request& request) {
  if (request.lingers_until) {
    if (!IsLingeringOver(request)) {
      Schedule(request);
    }
    return;
  }
  if (IsEnded(request)) {
    return;
  }
  AskForPending(request);
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    Part& part = request.parts[index];
    if (part.IsOpen() && part.retry_at && *part.retry_at <= m_now) {
      part.retry_at.reset();
      Place(request, index);
    }
    if (part.IsOpen() && part.hedge_at && *part.hedge_at <= m_now) {
      part.hedge_at.reset();
      Hedge(request, index);
    }
  }
  if (!IsEnded(request)) {
    Schedule(request);
  }
}

void RelayEngine::Schedule(Request& request) {
  TimePoint next = request.lingers_until.value_or(request.request.deadline);
  const auto consider = [&](TimePoint at) {
    if (at > m_now) {
      next = std::min(next, at);
    }
  };
  if (request.TheRoute().IsFanOut()) {
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

bool RelayEngine::IsEnded(Request& request) {
  if (!request.TheRoute().IsFanOut()) {
    Part& part = request.parts.front();
    if (!part.IsOpen()) {
      FinishOne(request);
      return true;
    }
    if (m_now >= request.request.deadline) {
      FinishRefused(request, RefusalReason::kDeadlinePassed, std::nullopt);
      return true;
    }
    return false;
  }
  FanOutProgress progress;
  for (const Part& part : request.parts) {
    if (part.is_delivered) {
      continue;
    }
    ++progress.shards;
    progress.answered += part.IsAnswered() ? 1 : 0;
    progress.open += part.IsOpen() ? 1 : 0;
  }
  const CoverageTimes times{request.request.answer_by,
                            request.request.deadline};
  const double min_coverage =
      request.request.is_for_peer ? 0 : request.TheRoute().min_coverage;
  switch (NextCoverageStep(progress, min_coverage, times, m_now)) {
    case CoverageStep::kWait:
      return false;
    case CoverageStep::kAnswer:
      if (request.request.is_for_peer) {
        AnswerPeer(request);
        return !request.lingers_until;
      }
      FinishMerged(request);
      return true;
    case CoverageStep::kGiveUp:
      break;
  }
  FinishRefused(request,
                m_now >= request.request.deadline
                    ? RefusalReason::kDeadlinePassed
                    : RefusalReason::kNoReplica,
                kRetryLater);
  return true;
}

void RelayEngine::FinishOne(Request& request) {
  Part& part = request.parts.front();
  std::optional<HttpResponse>& response =
      part.answer ? part.answer : part.failure;
  if (!response) {
    FinishRefused(request,
                  part.verdict == Verdict::kNotRun ? RefusalReason::kNoReplica
                                                   : RefusalReason::kLost,
                  kRetryLater);
    return;
  }
  RelayOutcome outcome;
  outcome.answers.push_back(std::move(*response));
  Finish(request, std::move(outcome));
}

void RelayEngine::FinishMerged(Request& request) {
  RelayOutcome outcome;
  outcome.answers = std::move(request.peer_answers);
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    Part& part = request.parts[index];
    if (part.answer) {
      outcome.answers.push_back(std::move(*part.answer));
    }
    if (part.IsAnswered()) {
      outcome.covered.push_back(index);
    } else {
      ++outcome.missing_shards;
    }
  }
  Finish(request, std::move(outcome));
}

// The answer has the shards that are there when it is due. The request is kept
// for a while, as the delegating daemon may need the pending shards to reach
// the route's minimum coverage.
void RelayEngine::AnswerPeer(Request& request) {
  RelayOutcome outcome;
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    Part& part = request.parts[index];
    if (part.is_delivered) {
      continue;
    }
    if (part.answer) {
      outcome.answers.push_back(std::move(*part.answer));
      outcome.covered.push_back(index);
      part.is_delivered = true;
      continue;
    }
    const auto out = static_cast<std::uint32_t>(part.running.size());
    outcome.uncovered.push_back({index, part.runs + out, part.IsOpen()});
    outcome.is_continued = outcome.is_continued || part.IsOpen();
  }
  if (!outcome.is_continued || m_now >= request.request.deadline) {
    outcome.is_continued = false;
    AbandonSends(request);
    Finish(request, std::move(outcome));
    return;
  }
  Explain(request, outcome);
  request.lingers_until = m_now + kLingerTime;
  m_actions.finishes.push_back({request.number, std::move(outcome)});
}

bool RelayEngine::IsLingeringOver(Request& request) {
  if (m_now < *request.lingers_until) {
    return false;
  }
  AbandonSends(request);
  Finish(request, RelayOutcome());
  return true;
}

bool RelayEngine::Continue(RelayNumber number,
                           TimePoint deadline,
                           TimePoint now) {
  m_now = now;
  Request* request = Find(number);
  if (request == nullptr || !request->lingers_until) {
    return false;
  }
  request->lingers_until.reset();
  request->request.deadline = deadline;
  request->request.answer_by = deadline;
  Touch(number);
  return true;
}

void RelayEngine::FinishRefused(Request& request,
                                RefusalReason reason,
                                std::optional<Duration> retry_after) {
  RelayOutcome outcome;
  outcome.refusal = RelayRefusal{reason, VerdictOfParts(request), retry_after};
  Finish(request, std::move(outcome));
}

PartEnd RelayEngine::Part::End() const {
  if (is_covered) {
    return PartEnd::kCovered;
  }
  if (answered_by) {
    return PartEnd::kAnswered;
  }
  return is_failed ? PartEnd::kFailed : PartEnd::kOpen;
}

OddPart RelayEngine::Part::Describe(TimePoint now) const {
  OddPart odd;
  odd.service = service->name;
  odd.end = End();
  for (const auto& leaf : tried) {
    odd.leafs.push_back(leaf->registration.id);
  }
  odd.is_at_peer = delegation || pending;
  if (tried.empty() && !odd.is_at_peer) {
    for (const auto& leaf : service->leafs) {
      odd.leafs.push_back(leaf->registration.id + ":" +
                          std::string(ToString(StateOf(*leaf, now))));
    }
  }
  if (answered_by) {
    odd.answered_by = answered_by->registration.id;
  }
  odd.hedges = hedges;
  odd.budget = service->budget.Tokens();
  return odd;
}

void RelayEngine::Explain(const Request& request, RelayOutcome& outcome) const {
  outcome.sends = request.sends;
  outcome.repeats = request.repeats;
  bool is_open = false;
  for (const Part& part : request.parts) {
    is_open = is_open || part.IsOpen();
    if (part.IsOdd()) {
      ++outcome.odd_part_count;
      if (outcome.odd_parts.size() < kMostOddParts) {
        outcome.odd_parts.push_back(part.Describe(m_now));
      }
    }
  }
  if (m_now >= request.request.deadline) {
    outcome.wait_end = WaitEnd::kDeadline;
  } else if (is_open) {
    outcome.wait_end = WaitEnd::kAnswerDue;
  }
}

// Short attempts that are still outstanding go on, so that their connections
// are kept.
void RelayEngine::Finish(Request& request, RelayOutcome outcome) {
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    Dequeue(request, index);
    CancelLosers(request, request.parts[index]);
  }
  Explain(request, outcome);
  m_actions.finishes.push_back({request.number, std::move(outcome)});
  Erase(request);
}

void RelayEngine::Erase(Request& request) {
  if (request.timer) {
    m_timers.erase({*request.timer, request.number});
  }
  m_requests.erase(request.number);
}

Verdict RelayEngine::VerdictOfParts(const Request& request) const {
  Verdict verdict = Verdict::kNotRun;
  for (const Part& part : request.parts) {
    verdict = Combine(verdict, part.verdict);
    if (!part.running.empty() || part.delegation) {
      verdict = Verdict::kMayHaveRun;
    }
  }
  return verdict;
}

void RelayEngine::AbandonSends(Request& request) {
  for (const Part& part : request.parts) {
    for (const SendNumber number : part.running) {
      m_abandons.emplace(m_now + kAbandonDelay, number);
    }
    if (part.delegation) {
      m_abandons.emplace(m_now, *part.delegation);
    }
  }
}

}  // namespace bramleyspoke
