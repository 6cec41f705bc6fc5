#include <algorithm>
#include <utility>

#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Attempts of one fan-out whose connections are lost, without an answer to any
// other, from which on it is doubtful. Other requests are bounded by their
// route's attempts.
constexpr std::uint32_t kDoubtfulLosses = 2;
// Number of leafs at work on a fan-out from which on it is unlikely that all of
// them stall at the same time.
constexpr std::size_t kUnlikelyStalls = 4;

}  // namespace

bool RelayEngine::Request::IsAnsweredByAnyLeaf() const {
  return std::any_of(parts.begin(), parts.end(),
                     [](const Part& part) { return part.IsAnswered(); });
}

bool RelayEngine::Request::IsInProgress() const {
  return std::any_of(parts.begin(), parts.end(),
                     [](const Part& part) { return part.IsInProgress(); });
}

// A request that crashes the leafs that run it would otherwise take both leafs
// of many shards before the first of them is found gone.
bool RelayEngine::Request::AwaitsFirstAnswer() const {
  const auto at_leafs =
      std::count_if(parts.begin(), parts.end(),
                    [](const Part& part) { return !part.outstanding.empty(); });
  return static_cast<std::size_t>(at_leafs) >= kUnlikelyStalls &&
         !IsAnsweredByAnyLeaf();
}

// A request that has crashed leafs reaches one leaf only before it is refused
// or proven harmless. If many leafs fail at once, all requests in flight become
// doubtful; a retry is then answered at once and goes to the remaining shards.
void RelayEngine::BeginTrialIfDoubtful(Request& request) {
  if (!m_crashes.IsDoubtful(request.PartAt(*request.parts.front().service),
                            m_now)) {
    return;
  }
  request.is_doubtful = true;
  for (Part& part : request.parts) {
    part.is_held = true;
  }
}

void RelayEngine::RecordUnanswered(Request& request,
                                   const Attempt& attempt,
                                   LeafReplyKind kind) {
  RecordLostAttempts(request, kind == LeafReplyKind::kLost ? 1 : 0);
  request.is_trial_lost = request.is_trial_lost || attempt.is_trial;
}

void RelayEngine::RecordLostAttempts(Request& request, std::uint32_t count) {
  request.lost_attempts += count;
  request.is_doubtful =
      request.is_doubtful ||
      (request.parts.size() > 1 && request.lost_attempts >= kDoubtfulLosses);
}

bool RelayEngine::AdmitAttempt(Request& request, Part& part) {
  part.is_held =
      request.IsOnTrial() && (request.is_trial_lost || request.IsInProgress());
  return !part.is_held;
}

void RelayEngine::ResumeHeldParts(Request& request) {
  if (!request.is_doubtful) {
    return;
  }
  if (!request.IsOnTrial()) {
    ReleaseHeldParts(request);
    return;
  }
  while (!request.IsInProgress()) {
    const auto next = ChooseTrialPart(request);
    if (!next) {
      return;
    }
    Part& part = request.parts[*next];
    if (request.is_trial_lost) {
      FailUnlessOutstanding(part);
      continue;
    }
    if (part.IsUnsent()) {
      CreditRetryBudget(part, 1);
    }
    DispatchPart(request, *next);
  }
}

// Prefers the part that has crashed the fewest leafs: a request that crashes
// the leafs of one shard only is then answered by another.
std::optional<std::size_t> RelayEngine::ChooseTrialPart(
    const Request& request) const {
  std::optional<std::size_t> best;
  std::size_t fewest = 0;
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    const Part& part = request.parts[index];
    if (!part.IsOpen() || !part.is_held) {
      continue;
    }
    const std::size_t crashes =
        m_crashes.CrashCount(request.PartAt(*part.service), m_now);
    if (!best || crashes < fewest) {
      best = index;
      fewest = crashes;
    }
  }
  return best;
}

void RelayEngine::ReleaseHeldParts(Request& request) {
  std::vector<std::size_t> sent_before;
  for (std::size_t index = 0; index < request.parts.size(); ++index) {
    Part& part = request.parts[index];
    if (std::exchange(part.is_held, false) && part.IsOpen() &&
        !part.IsUnsent()) {
      sent_before.push_back(index);
    }
  }
  SendParts(request);
  for (const std::size_t index : sent_before) {
    DispatchPart(request, index);
  }
}

}  // namespace bramleyspoke
