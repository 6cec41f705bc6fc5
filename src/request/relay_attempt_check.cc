// Decides whether a part may be sent to another leaf. Every way to send one
// asks here: a request's first attempt, its retries, timers, queues, holds,
// trials, hedges and hand-overs.

#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Attempts that a part may make beyond the route's limit, as refused ones have
// not run.
constexpr std::uint32_t kMaxRefusals = 6;

}  // namespace

bool RelayEngine::MayRunAgain(const Request& request, const Part& part) const {
  const bool may_have_run = part.verdict != Verdict::kNotRun || part.IsSent();
  return (request.IsIdempotent() || !may_have_run) && !IsSuspect(request, part);
}

// A daemon that shares a part with the peer that delegated it knows nothing of
// the other's attempts.
bool RelayEngine::MayReachAnotherLeaf(const Request& request,
                                      const Part& part) const {
  const Route& route = request.MatchedRoute();
  if (!MayRunAgain(request, part)) {
    return false;
  }
  const bool is_bounded = IsBoundedByLeafs(part, route);
  const bool is_shared_with_delegator =
      request.request.is_for_peer && part.shared_since;
  if (is_shared_with_delegator && !is_bounded) {
    return false;
  }
  const std::uint32_t left =
      is_bounded ? part.quota.LeftByReports() : part.quota.Left();
  return left > 0 && part.attempts < route.max_attempts + kMaxRefusals;
}

// Entries of leafs that run may be missing for a time, at this daemon or at the
// peer.
bool RelayEngine::AreLeafsSettled(const Part& part, const Route& route) const {
  return part.service->leafs.size() <= route.max_attempts &&
         m_now - part.service->leafs_changed_at >= kLeafSetSettleTime;
}

// If the service has no more leafs than the route allows attempts, two daemons
// that both know all of them cannot exceed that number of leafs, even if they
// know nothing of each other's attempts.
bool RelayEngine::IsBoundedByLeafs(const Part& part, const Route& route) {
  return part.shared_since &&
         part.service->leafs.size() <= route.max_attempts &&
         part.service->leafs_changed_at <= *part.shared_since;
}

// The leafs that had the part before do not count if the service has no others.
std::uint32_t RelayEngine::AttemptsToDelegate(const Part& part,
                                              const Route& route) const {
  return AreLeafsSettled(part, route) ? route.max_attempts : part.quota.Left();
}

}  // namespace bramleyspoke
