#include "process/service_runner.h"

#include <set>
#include <utility>

#include "connection/event_loop.h"
#include "process/freshness_lease.h"

namespace bramleyspoke {
namespace {

// Interval of status requests: the longest time until a draining leaf or a new
// index version is noticed.
constexpr std::chrono::milliseconds kStatusInterval{1000};
// If a leaf lacks the requested version, index versions are changing and
// queries may wait for the new ones. The status of all leafs is then fetched at
// once, but at most once in this interval.
constexpr std::chrono::milliseconds kMinStatusInterval{50};

AttemptOutcome NotSentOutcome() {
  AttemptOutcome outcome;
  outcome.result = AttemptResult::kNotSent;
  outcome.verdict = Verdict::kNotRun;
  return outcome;
}

}  // namespace

std::shared_ptr<ServiceRunner> ServiceRunner::Create(
    RunnerContext context,
    std::shared_ptr<const ServiceRoute> route,
    std::string attempt_prefix,
    std::uint64_t seed) {
  auto engine = QueryEngine::Create(route, std::move(attempt_prefix), seed,
                                    context.engine_options);
  return std::shared_ptr<ServiceRunner>(new ServiceRunner(
      std::move(context), std::move(route), std::move(engine)));
}

ServiceRunner::ServiceRunner(RunnerContext context,
                             std::shared_ptr<const ServiceRoute> route,
                             std::unique_ptr<QueryEngine> engine)
    : m_context(std::move(context)),
      m_route(std::move(route)),
      m_engine(std::move(engine)) {}

void ServiceRunner::Start() {
  FetchAllStatuses();
}

void ServiceRunner::Submit(QueryNumber query,
                           SearchRequest request,
                           Done done) {
  m_done_callbacks.emplace(query, std::move(done));
  Apply(m_engine->Submit(query, std::move(request), m_context.clock.Now()));
}

void ServiceRunner::SetRoute(std::shared_ptr<const ServiceRoute> route) {
  if (route == m_route) {
    return;
  }
  const std::set<Endpoint> known = LeafsOf(*m_route);
  m_route = route;
  Apply(m_engine->OnRoute(std::move(route), m_context.clock.Now()));
  for (const Endpoint& leaf : LeafsOf(*m_route)) {
    if (!known.contains(leaf)) {
      FetchStatusOf(leaf);
    }
  }
}

void ServiceRunner::OnCallerDisconnected(QueryNumber query) {
  Apply(m_engine->OnCallerDisconnected(query, m_context.clock.Now()));
}

void ServiceRunner::OnPeerEvidence(const CrashEvidence& evidence) {
  Apply(m_engine->OnPeerEvidence(evidence, m_context.clock.Now()));
}

void ServiceRunner::OnPeerDrain(const DrainNotice& drain) {
  Apply(m_engine->OnPeerDrain(drain, m_context.clock.Now()));
}

void ServiceRunner::Apply(EngineActions actions) {
  for (SendAction& send : actions.sends) {
    Send(std::move(send));
  }
  for (const CancelAction& cancel : actions.cancels) {
    m_context.backend.Cancel(cancel.leaf, cancel.attempt_id);
  }
  for (FinishAction& finish : actions.finishes) {
    Finish(std::move(finish));
  }
  if (m_engine->WantsStatus()) {
    MaybeFetchAllStatuses();
  }
  ArmTimer();
}

// The outcome is always posted to the loop, so that `Apply` is not re-entered.
// Without a valid lease nothing is sent: this process may have been paused, and
// the leaf may have begun to drain long ago.
void ServiceRunner::Send(SendAction action) {
  auto on_done = [weak = weak_from_this(),
                  id = action.attempt.attempt_id](AttemptOutcome outcome) {
    if (const auto self = weak.lock()) {
      const bool is_version_missing =
          outcome.reason == LeafReason::kVersionMissing;
      self->Apply(self->m_engine->OnAttempt(id, std::move(outcome),
                                            self->m_context.clock.Now()));
      if (is_version_missing) {
        self->MaybeFetchAllStatuses();
      }
    }
  };
  if (!m_context.lease.IsValid(m_context.clock.Now())) {
    m_context.loop.Post([on_done] { on_done(NotSentOutcome()); });
    return;
  }
  m_context.backend.Send(
      action.leaf, action.attempt,
      [&loop = m_context.loop, on_done](AttemptOutcome outcome) {
        loop.Post([on_done, outcome = std::move(outcome)]() mutable {
          on_done(std::move(outcome));
        });
      });
}

void ServiceRunner::Finish(FinishAction action) {
  const auto found = m_done_callbacks.find(action.query);
  if (found == m_done_callbacks.end()) {
    return;
  }
  const Done done = std::move(found->second);
  m_done_callbacks.erase(found);
  done(std::move(action.outcome));
}

void ServiceRunner::ArmTimer() {
  const std::optional<TimePoint> next = m_engine->NextTimer();
  const TimePoint at = next.value_or(TimePoint::max());
  if (at == m_timer_at) {
    return;
  }
  m_timer_at = at;
  m_timer.reset();
  if (!next) {
    return;
  }
  m_timer = m_context.loop.At(at, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->m_timer_at = TimePoint::max();
      self->Apply(self->m_engine->OnTimer(self->m_context.clock.Now()));
    }
  });
}

void ServiceRunner::MaybeFetchAllStatuses() {
  if (m_context.clock.Now() - m_statuses_fetched_at >= kMinStatusInterval) {
    FetchAllStatuses();
  }
}

void ServiceRunner::FetchAllStatuses() {
  m_statuses_fetched_at = m_context.clock.Now();
  for (const Endpoint& leaf : LeafsOf(*m_route)) {
    FetchStatusOf(leaf);
  }
  m_status_timer = m_context.loop.At(m_context.clock.Now() + kStatusInterval,
                                     [weak = weak_from_this()] {
                                       if (const auto self = weak.lock()) {
                                         self->FetchAllStatuses();
                                       }
                                     });
}

void ServiceRunner::FetchStatusOf(const Endpoint& leaf) {
  if (!m_outstanding_statuses.insert(leaf).second) {
    return;
  }
  m_context.backend.FetchStatus(
      leaf, [weak = weak_from_this(), leaf](std::optional<LeafStatus> status) {
        if (const auto self = weak.lock()) {
          self->m_outstanding_statuses.erase(leaf);
          self->Apply(self->m_engine->OnLeafStatus(
              leaf, std::move(status), self->m_context.clock.Now()));
        }
      });
}

}  // namespace bramleyspoke
