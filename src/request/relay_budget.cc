// Holds requests that lack a retry until new requests refill the retry budget.

#include <algorithm>
#include <iterator>
#include <utility>

#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Delay before a request that is held for the retry budget is considered again.
constexpr Duration kBudgetRetryDelay = std::chrono::milliseconds(15);
// Fraction of the time left that a request may be expected to wait: if the
// expectation fails, its caller has most of its time to send it again.
constexpr double kMaxHeldFraction = 0.25;

}  // namespace

void RelayEngine::CreditBudget(RelayService& service, double share) {
  service.budget.OnRequest(share);
  service.request_rate.OnRequest(share, m_now);
  if (service.held.empty() || service.budget.Tokens() < 1) {
    return;
  }
  const WaitingPart& first = *service.held.begin();
  if (Request* request = FindRequest(first.request)) {
    request->parts[first.part].retry_at = m_now;
    MarkForUpdate(first.request);
  }
}

bool RelayEngine::TakeRetryToken(Part& part) {
  RelayService& service = *part.service;
  const auto place = part.held ? service.held.lower_bound(part.held->place)
                               : service.held.end();
  const auto ahead = std::distance(service.held.begin(), place);
  if (service.budget.Tokens() < 1 + static_cast<double>(ahead) ||
      !service.budget.TakeForRetry()) {
    return false;
  }
  EndHold(part);
  return true;
}

// Only new requests refill the budget. If all callers wait for answers, none
// comes, and a held request would end at its deadline. Its caller is told at
// once instead: what it sends again is a new request, needs no retry, and
// refills the budget.
void RelayEngine::HoldOrFail(Request& request,
                             std::size_t index,
                             Duration latency) {
  Part& part = request.parts[index];
  if (request.MatchedRoute().IsFanOut()) {
    part.retry_at = m_now + kBudgetRetryDelay;
    return;
  }
  const bool is_new = !part.held;
  if (is_new) {
    const WaitingPart place{request.MatchedRoute().priority, ++m_last_sequence,
                            request.number, index};
    part.service->held.insert(place);
    part.held = HeldPart{place, m_now};
  }
  const auto wait = ExpectedHold(part);
  const Duration time_left = request.request.deadline - latency - m_now;
  if (!wait || *wait > time_left * kMaxHeldFraction) {
    EndHold(part);
    request.lacks_retry = part.outstanding.empty();
    FailUnlessOutstanding(part);
    return;
  }
  part.retry_at = m_now + kBudgetRetryDelay;
  if (is_new) {
    m_held_requests.push_back(
        {request.number, part.service->name, part.service->budget.Tokens(),
         part.service->held.size() - 1, *wait, time_left});
  }
}

std::optional<Duration> RelayEngine::ExpectedHold(const Part& part) const {
  const RelayService& service = *part.service;
  const auto place = service.held.lower_bound(part.held->place);
  const auto ahead = std::distance(service.held.begin(), place);
  const double missing =
      1 + static_cast<double>(ahead) - service.budget.Tokens();
  if (missing <= 0) {
    return Duration::zero();
  }
  const double per_request = service.budget.TokensPerRequest();
  return per_request > 0
             ? service.request_rate.TimeFor(missing / per_request, m_now)
             : std::nullopt;
}

void RelayEngine::EndHold(Part& part) const {
  if (part.held) {
    part.service->held.erase(part.held->place);
    part.held_for += m_now - part.held->since;
    part.held.reset();
  }
}

void RelayEngine::EndOldHolds(Request& request) const {
  for (Part& part : request.parts) {
    if (!part.IsOpen() || !part.retry_at) {
      EndHold(part);
    }
  }
}

std::vector<HeldRequest> RelayEngine::TakeHeldRequests() {
  return std::exchange(m_held_requests, {});
}

}  // namespace bramleyspoke
