// Ends the requests of a daemon that stops as planned, before the process ends.

#include <algorithm>

#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Half of all attempts take longer than expected.
constexpr double kLatencyMargin = 2;

}  // namespace

// A stopping daemon gets few new requests, which alone would refill the retry
// budget, so nothing waits for it: a caller that is told so at once is served
// by another daemon.
//
// The process ends even if leafs are slow or full. What no leaf has got is then
// refused with the verdict "not run", and what a leaf still has gets an answer
// that leaves the outcome open. Both are better than a closed connection, from
// which a caller cannot tell whether its request was read.
RelayActions RelayEngine::BeginStop(const StopSchedule& schedule,
                                    TimePoint now) {
  m_now = now;
  m_stop = schedule;
  for (const auto& [number, request] : m_requests) {
    LimitToStop(*request);
    MarkForUpdate(number);
  }
  return FinishEvent();
}

void RelayEngine::LimitToStop(Request& request) const {
  if (!m_stop) {
    return;
  }
  RelayRequest& asked = request.request;
  asked.deadline = std::min(asked.deadline, m_stop->answer_all_by);
  asked.answer_by = std::min(asked.answer_by, m_stop->answer_all_by);
}

bool RelayEngine::IsLimitedByStop(const Request& request) const {
  return m_stop && request.request.deadline == m_stop->answer_all_by;
}

std::optional<TimePoint> RelayEngine::LatestSend(const Request& request,
                                                 const Part& part) const {
  if (!IsLimitedByStop(request)) {
    return std::nullopt;
  }
  const std::string& route_name = request.MatchedRoute().name;
  std::optional<Duration> shortest;
  for (const auto& leaf : part.service->leafs) {
    if (StateOf(*leaf, m_now) <= LeafState::kFull) {
      const Duration latency = leaf->load.ExpectedLatency(route_name, m_now);
      shortest = std::min(shortest.value_or(latency), latency);
    }
  }
  if (!shortest) {
    return std::nullopt;
  }
  return m_stop->answer_all_by -
         std::chrono::duration_cast<Duration>(*shortest * kLatencyMargin);
}

bool RelayEngine::IsTooLateToSend(const Request& request,
                                  const Part& part) const {
  const auto latest = LatestSend(request, part);
  return latest && m_now >= *latest;
}

void RelayEngine::EndWaitingParts(Request& request) {
  if (!IsLimitedByStop(request)) {
    return;
  }
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    Part& part = request.parts[index];
    if (part.IsOpen() && part.IsWaiting() && !part.IsSent() &&
        IsTooLateToSend(request, part)) {
      Dequeue(request, index);
      part.retry_at.reset();
      part.is_failed = true;
      request.is_ended_by_stop = true;
    }
  }
}

RelayRefusal RelayEngine::DeadlineRefusal(const Request& request) const {
  const Verdict verdict = VerdictOfParts(request);
  if (IsLimitedByStop(request)) {
    return {RefusalReason::kShuttingDown, verdict, kOverloadedRetryAfter};
  }
  if (request.MatchedRoute().IsFanOut()) {
    return {RefusalReason::kDeadlinePassed, verdict, kUnavailableRetryAfter};
  }
  return {RefusalReason::kDeadlinePassed, verdict, std::nullopt};
}

}  // namespace bramleyspoke
