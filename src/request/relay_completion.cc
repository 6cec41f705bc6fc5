// Decides when a request has ended, and with what outcome.

#include <algorithm>
#include <utility>

#include "request/coverage_wait.h"
#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Maximum number of parts that a request's outcome reports.
constexpr std::size_t kMaxPartReports = 8;
// How long an incomplete answer's request is kept for a peer's continuation.
constexpr Duration kContinuationTimeout = std::chrono::milliseconds(100);

}  // namespace

bool RelayEngine::FinishIfDone(Request& request) {
  if (!request.MatchedRoute().IsFanOut()) {
    Part& part = request.parts.front();
    if (!part.IsOpen()) {
      FinishSingle(request);
      return true;
    }
    if (m_now >= request.request.deadline) {
      FinishRefused(request, DeadlineRefusal(request));
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
      request.request.is_for_peer ? 0 : request.MatchedRoute().min_coverage;
  switch (NextCoverageStep(progress, min_coverage, times, m_now)) {
    case CoverageStep::kWait:
      return false;
    case CoverageStep::kAnswer:
      if (request.request.is_for_peer) {
        return AnswerPeer(request);
      }
      FinishFanOut(request);
      return true;
    case CoverageStep::kGiveUp:
      break;
  }
  if (m_now >= request.request.deadline) {
    FinishRefused(request, DeadlineRefusal(request));
  } else if (IsTrialLost(request)) {
    FinishRefused(request, {RefusalReason::kCrashSuspect,
                            VerdictOfParts(request), kUnavailableRetryAfter});
  } else {
    FinishRefused(request, RefusalWithoutLeafs(request));
  }
  return true;
}

bool RelayEngine::IsTrialLost(const Request& request) {
  return request.is_trial_lost && request.IsOnTrial();
}

void RelayEngine::FinishSingle(Request& request) {
  Part& part = request.parts.front();
  std::optional<HttpResponse>& response =
      part.answer ? part.answer : part.failure;
  if (!response && part.verdict == Verdict::kNotRun) {
    FinishRefused(request, request.lacks_retry
                               ? RelayRefusal{RefusalReason::kOverloaded,
                                              VerdictOfParts(request),
                                              kOverloadedRetryAfter}
                               : RefusalWithoutLeafs(request));
    return;
  }
  if (!response) {
    FinishRefused(request, {IsTrialLost(request) ? RefusalReason::kCrashSuspect
                                                 : RefusalReason::kLost,
                            VerdictOfParts(request), kUnavailableRetryAfter});
    return;
  }
  RelayOutcome outcome;
  outcome.answers.push_back(std::move(*response));
  outcome.covered = {0};
  Finish(request, std::move(outcome));
}

void RelayEngine::FinishFanOut(Request& request) {
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

// The answer covers the shards that have been answered when it is due. The
// request is kept for `kContinuationTimeout`, as the delegating daemon may need
// the pending shards to reach the route's minimum coverage.
bool RelayEngine::AnswerPeer(Request& request) {
  RelayOutcome outcome;
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    Part& part = request.parts[index];
    if (!part.is_delivered && part.answer) {
      outcome.answers.push_back(std::move(*part.answer));
      outcome.covered.push_back(index);
      part.is_delivered = true;
    }
  }
  outcome.uncovered = UncoveredShards(request);
  outcome.is_continued =
      std::any_of(outcome.uncovered.begin(), outcome.uncovered.end(),
                  [](const UncoveredShard& shard) { return shard.is_pending; });
  if (!outcome.is_continued || m_now >= request.request.deadline) {
    outcome.is_continued = false;
    CancelAttempts(request);
    Finish(request, std::move(outcome));
    return true;
  }
  FillLogDetails(request, outcome);
  request.continuation_deadline = m_now + kContinuationTimeout;
  m_actions.finishes.push_back({request.number, std::move(outcome)});
  return false;
}

bool RelayEngine::FinishIfExpired(Request& request) {
  if (m_now < *request.continuation_deadline) {
    return false;
  }
  CancelAttempts(request);
  Finish(request, RelayOutcome());
  return true;
}

bool RelayEngine::Continue(RelayNumber number,
                           TimePoint deadline,
                           TimePoint now) {
  m_now = now;
  Request* request = FindRequest(number);
  if (request == nullptr || !request->continuation_deadline) {
    return false;
  }
  request->continuation_deadline.reset();
  request->is_continuation = true;
  request->request.deadline = deadline;
  request->request.answer_by = deadline;
  LimitToStop(*request);
  MarkForUpdate(number);
  return true;
}

// The delegating daemon requests uncovered shards from other leafs, which must
// not get a request that crashes them.
void RelayEngine::FinishRefused(Request& request, const RelayRefusal& refusal) {
  RelayOutcome outcome;
  outcome.refusal = refusal;
  if (request.request.is_for_peer &&
      outcome.refusal->reason != RefusalReason::kCrashSuspect) {
    outcome.uncovered = UncoveredShards(request);
    for (UncoveredShard& shard : outcome.uncovered) {
      shard.is_pending = false;
    }
  }
  Finish(request, std::move(outcome));
}

std::vector<UncoveredShard> RelayEngine::UncoveredShards(
    const Request& request) {
  std::vector<UncoveredShard> uncovered;
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    const Part& part = request.parts[index];
    if (!part.is_delivered) {
      uncovered.push_back({index, part.quota.RunsHere(), part.IsOpen(),
                           part.has_arrived || !part.outstanding.empty()});
    }
  }
  return uncovered;
}

PartState RelayEngine::Part::State() const {
  if (is_covered) {
    return PartState::kCovered;
  }
  if (answered_by) {
    return PartState::kAnswered;
  }
  return is_failed ? PartState::kFailed : PartState::kOpen;
}

PartReport RelayEngine::Part::Describe(const Route& route,
                                       TimePoint now) const {
  PartReport report;
  report.service = service->name;
  report.end = State();
  for (const auto& leaf : tried) {
    report.leafs.push_back(leaf->registration.id);
  }
  report.is_at_peer = delegation || pending;
  if (tried.empty() && !report.is_at_peer) {
    for (const auto& leaf : service->leafs) {
      report.leafs.push_back(leaf->registration.id + ":" +
                             std::string(ToString(StateOf(*leaf, now))));
    }
  }
  if (answered_by) {
    report.answered_by = answered_by->registration.id;
    report.answered_on = answered_on;
  }
  report.runs_here = quota.RunsHere();
  report.runs_at_peers = quota.ReportedRuns();
  report.max_attempts = route.max_attempts;
  report.hedges = hedges;
  report.budget = service->budget.Tokens();
  report.held = held_for + (held ? now - held->since : Duration::zero());
  return report;
}

void RelayEngine::FillLogDetails(const Request& request,
                                 RelayOutcome& outcome) const {
  outcome.sends = request.attempts;
  outcome.repeats = request.retries_and_hedges;
  bool is_open = false;
  for (const Part& part : request.parts) {
    is_open = is_open || part.IsOpen();
    outcome.hand_overs += part.hand_overs;
    if (part.IsReportable()) {
      ++outcome.reportable_parts;
      if (outcome.part_reports.size() < kMaxPartReports) {
        outcome.part_reports.push_back(
            part.Describe(request.MatchedRoute(), m_now));
      }
    }
  }
  if (m_now >= request.request.deadline) {
    outcome.wait_end = WaitEnd::kDeadline;
  } else if (is_open) {
    outcome.wait_end = WaitEnd::kAnswerDue;
  }
}

// Outstanding attempts continue, so that their connections stay open, except
// those that `CancelQueuedAttempts` cancels.
void RelayEngine::Finish(Request& request, RelayOutcome outcome) {
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    Dequeue(request, index);
    CancelQueuedAttempts(request, request.parts[index]);
  }
  FillLogDetails(request, outcome);
  m_actions.finishes.push_back({request.number, std::move(outcome)});
  Erase(request);
}

void RelayEngine::Erase(Request& request) {
  if (request.timer) {
    m_timers.erase({*request.timer, request.number});
  }
  for (Part& part : request.parts) {
    EndHold(part);
  }
  m_requests.erase(request.number);
}

Verdict RelayEngine::VerdictOfParts(const Request& request) const {
  Verdict verdict = Verdict::kNotRun;
  for (const Part& part : request.parts) {
    verdict = Combine(verdict, part.verdict);
    if (!part.outstanding.empty() || part.delegation) {
      verdict = Verdict::kMayHaveRun;
    }
  }
  return verdict;
}

}  // namespace bramleyspoke
