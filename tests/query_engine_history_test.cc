#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <iostream>

#include "engine_fixture.h"
#include "engine_history.h"

namespace bramleyspoke {
namespace {

using Step = std::array<std::uint8_t, 4>;

constexpr int kHistories = 2000;
constexpr int kMaxSteps = 200;
constexpr double kExtraLoadPercent = 5;

struct SimulatedLeaf {
  std::uint64_t incarnation = 1;
  std::vector<IndexVersion> versions;
  bool is_draining = false;
  /// Whether the engine was notified that this incarnation drains.
  bool is_drain_reported = false;
};

/// Simulates leafs and a network as directed by random steps, and records the
/// history.
class Simulation {
 public:
  Simulation(ServiceRoute route, EngineOptions options)
      : m_fixture(std::move(route), options) {
    for (const Layout& layout : m_fixture.route.spec.layouts) {
      m_history.shards_of_layout[layout.id] = layout.shards.size();
      for (const Shard& shard : layout.shards) {
        for (const Replica& replica : shard.replicas) {
          m_leafs[replica.leaf].versions.push_back({1, layout.id});
          m_endpoints.push_back(replica.leaf);
        }
      }
    }
    for (const auto& [endpoint, leaf] : m_leafs) {
      ReportStatus(endpoint);
    }
  }

  void Run(const Step& step) {
    const Endpoint leaf = m_endpoints[step[1] % m_endpoints.size()];
    switch (step[0] % 24) {
      case 0:
      case 1:
      case 2:
      case 3:
        return SubmitQuery(step);
      case 4:
        return EndAttempt(step, AttemptResult::kLost);
      case 5:
        return EndAttempt(step, AttemptResult::kTimedOut);
      case 6:
        return EndAttempt(step, AttemptResult::kNotSent);
      case 7:
        return EndAttempt(step, AttemptResult::kWrongAnswer);
      case 8:
      case 9:
        return EndAttempt(step, AttemptResult::kRefused);
      case 10:
        return RepeatLastOutcome(step);
      case 11:
        return Crash(leaf);
      case 12:
        return ChangeVersions(leaf, step);
      case 13:
        m_leafs[leaf].is_draining = true;
        return step[2] % 2 == 0 ? ReportStatus(leaf) : ReportPeerDrain(leaf);
      case 14:
        return ChangeRoute(step);
      case 15:
        return RecordActions(
            m_fixture.engine->OnCallerDisconnected(step[1], m_fixture.now));
      case 16:
        m_fixture.now += milliseconds(step[1] * 8);
        return;
      case 17:
      case 18:
      case 19:
        return Advance(milliseconds(step[1] % 64));
      case 20:
        return RecordActions(
            m_fixture.engine->OnLeafStatus(leaf, std::nullopt, m_fixture.now));
      default:
        return EndAttempt(step, AttemptResult::kAnswered);
    }
  }

  /// Gives every attempt an outcome, lets all queries reach their deadline, and
  /// checks the history.
  std::vector<std::string> Finish(double percent) {
    while (!m_outstanding.empty()) {
      EndAttempt({0, 0, 0, 0}, AttemptResult::kTimedOut);
    }
    Advance(std::chrono::seconds(30));
    while (!m_outstanding.empty()) {
      EndAttempt({0, 0, 0, 0}, AttemptResult::kTimedOut);
    }
    if (m_fixture.engine->InFlight() != 0) {
      m_history.recorded_violations.push_back(
          "queries in flight after all deadlines");
    }
    return m_history.Check(percent);
  }

  const EngineCounters& Counters() const {
    return m_fixture.engine->Counters();
  }

 private:
  void RecordActions(EngineActions actions) {
    ++m_history.event;
    for (SendAction& send : actions.sends) {
      RecordSend(std::move(send));
    }
    for (FinishAction& finish : actions.finishes) {
      m_history.finished_at[finish.query] = m_history.event;
      m_history.outcomes[finish.query].push_back(std::move(finish.outcome));
    }
  }

  void RecordSend(SendAction send) {
    const SimulatedLeaf& leaf = m_leafs[send.leaf];
    if (leaf.is_drain_reported || m_fixture.route.leaving.contains(send.leaf)) {
      m_history.recorded_violations.push_back(
          "attempt sent to a draining leaf");
    }
    const std::uint32_t holders =
        std::max<std::uint32_t>(1, m_fixture.route.holders.size());
    const std::uint32_t share =
        std::max<std::uint32_t>(1, m_fixture.route.spec.slots / holders);
    if (++m_in_flight[send.leaf] > share) {
      m_history.recorded_violations.push_back(
          "more attempts in flight than slots");
    }
    if (send.attempt.deadline <= m_fixture.now) {
      m_history.recorded_violations.push_back(
          "attempt sent after its deadline");
    }
    AttemptEvents events;
    events.send = std::move(send);
    events.query = std::stoull(events.send.attempt.request_id.substr(1));
    events.sent_at = m_history.event;
    const std::string id = events.send.attempt.attempt_id;
    m_outstanding.push_back(id);
    m_history.attempts[id] = std::move(events);
  }

  void SubmitQuery(const Step& step) {
    const QueryNumber number = m_history.submitted.size();
    SearchRequest request;
    request.request_id = "r" + std::to_string(number);
    request.service = "search";
    request.query = "q" + std::to_string(step[2] % 4);
    request.limit = 100;
    request.deadline = m_fixture.now + milliseconds(1 + step[1] * 2);
    m_history.submitted[number] = request;
    m_history.idempotent[number] = m_fixture.route.spec.idempotent;
    m_history.outcomes[number];
    RecordActions(
        m_fixture.engine->Submit(number, std::move(request), m_fixture.now));
  }

  void EndAttempt(const Step& step, AttemptResult result) {
    if (m_outstanding.empty()) {
      return;
    }
    const std::size_t index = step[1] % m_outstanding.size();
    const std::string id = m_outstanding[index];
    m_outstanding.erase(m_outstanding.begin() +
                        static_cast<std::ptrdiff_t>(index));
    DeliverOutcome(id, MakeOutcome(m_history.attempts[id], result, step));
  }

  void DeliverOutcome(const std::string& id, AttemptOutcome outcome) {
    AttemptEvents& events = m_history.attempts[id];
    SimulatedLeaf& leaf = m_leafs[events.send.leaf];
    --m_in_flight[events.send.leaf];
    events.has_outcome = true;
    events.result = outcome.result;
    events.covered = outcome.covered;
    events.was_not_run = outcome.verdict == Verdict::kNotRun;
    events.outcome_at = m_history.event + 1;
    leaf.is_drain_reported |= outcome.draining;
    m_last_attempt_id = id;
    m_last_outcome = outcome;
    RecordActions(
        m_fixture.engine->OnAttempt(id, std::move(outcome), m_fixture.now));
  }

  AttemptOutcome MakeOutcome(AttemptEvents& events,
                             AttemptResult result,
                             const Step& step) {
    const SimulatedLeaf& leaf = m_leafs[events.send.leaf];
    AttemptOutcome outcome = Failed(result);
    const bool has_response =
        result == AttemptResult::kAnswered || result == AttemptResult::kRefused;
    if (has_response) {
      outcome.incarnation = std::to_string(leaf.incarnation);
      outcome.draining = leaf.is_draining;
    }
    if (result == AttemptResult::kAnswered) {
      events.has_run = true;
      outcome.verdict = Verdict::kRan;
      outcome.covered = step[2] % 4 == 0 ? 0.5 : 1;
      outcome.hits = {{EngineHistory::HitIdFor(events.send.attempt), 1, ""}};
    } else if (result == AttemptResult::kRefused) {
      outcome.reason = static_cast<LeafReason>(1 + step[2] % 7);
      events.has_run = outcome.reason == LeafReason::kOther;
      outcome.verdict =
          events.has_run ? Verdict::kMayHaveRun : Verdict::kNotRun;
      outcome.draining |= outcome.reason == LeafReason::kDraining;
    } else if (result != AttemptResult::kNotSent) {
      events.has_run = step[2] % 2 == 0;
    }
    return outcome;
  }

  void RepeatLastOutcome(const Step&) {
    if (m_last_outcome) {
      RecordActions(m_fixture.engine->OnAttempt(
          m_last_attempt_id, *m_last_outcome, m_fixture.now));
    }
  }

  void Crash(const Endpoint& endpoint) {
    SimulatedLeaf& leaf = m_leafs[endpoint];
    ++leaf.incarnation;
    leaf.is_draining = false;
    leaf.is_drain_reported = false;
    const std::vector<std::string> out = m_outstanding;
    for (const std::string& id : out) {
      if (m_history.attempts[id].send.leaf == endpoint) {
        std::erase(m_outstanding, id);
        m_history.attempts[id].has_run = true;
        DeliverOutcome(id, Failed(AttemptResult::kLost));
      }
    }
  }

  void ChangeVersions(const Endpoint& endpoint, const Step& step) {
    std::vector<IndexVersion>& versions = m_leafs[endpoint].versions;
    const std::string layout = versions.front().layout;
    versions.clear();
    for (std::uint64_t number = 1; number <= 3; ++number) {
      if (((step[2] | 4U) >> (number - 1) & 1U) != 0) {
        versions.push_back({number, layout});
      }
    }
    // Otherwise the engine learns of the change only from refusals.
    if (step[3] % 2 == 0) {
      ReportStatus(endpoint);
    }
  }

  void ChangeRoute(const Step& step) {
    m_fixture.route.leaving.clear();
    if (step[1] % 2 == 0) {
      m_fixture.route.leaving.insert(m_endpoints[step[2] % m_endpoints.size()]);
    }
    if (step[3] % 4 == 0) {
      std::reverse(m_fixture.route.spec.layouts.begin(),
                   m_fixture.route.spec.layouts.end());
    }
    if (step[3] % 8 == 1) {
      m_fixture.route.spec.layouts.resize(1);
    }
    RecordActions(m_fixture.engine->OnRoute(
        std::make_shared<ServiceRoute>(m_fixture.route), m_fixture.now));
  }

  void ReportStatus(const Endpoint& endpoint) {
    SimulatedLeaf& leaf = m_leafs[endpoint];
    LeafStatus status;
    status.versions = leaf.versions;
    status.incarnation = std::to_string(leaf.incarnation);
    status.draining = leaf.is_draining;
    leaf.is_drain_reported |= leaf.is_draining;
    RecordActions(
        m_fixture.engine->OnLeafStatus(endpoint, status, m_fixture.now));
  }

  void ReportPeerDrain(const Endpoint& endpoint) {
    SimulatedLeaf& leaf = m_leafs[endpoint];
    leaf.is_drain_reported = true;
    RecordActions(m_fixture.engine->OnPeerDrain(
        {endpoint, std::to_string(leaf.incarnation)}, m_fixture.now));
  }

  void Advance(Duration span) {
    const TimePoint end = m_fixture.now + span;
    while (m_fixture.engine->NextTimer() &&
           *m_fixture.engine->NextTimer() <= end) {
      m_fixture.now = std::max(m_fixture.now, *m_fixture.engine->NextTimer());
      RecordActions(m_fixture.engine->OnTimer(m_fixture.now));
    }
    m_fixture.now = std::max(m_fixture.now, end);
  }

  EngineFixture m_fixture;
  EngineHistory m_history;
  std::map<Endpoint, SimulatedLeaf> m_leafs;
  std::map<Endpoint, std::uint32_t> m_in_flight;
  std::vector<Endpoint> m_endpoints;
  std::vector<std::string> m_outstanding;
  std::string m_last_attempt_id;
  std::optional<AttemptOutcome> m_last_outcome;
};

ServiceRoute RandomRoute(const Step& choice, bool is_idempotent) {
  ServiceRoute route = MakeRoute(1 + choice[0] % 4, 1 + choice[1] % 3);
  route.spec.slots = 1 + choice[2] % 4;
  route.holders.resize(1 + choice[3] % 2);
  route.spec.idempotent = is_idempotent;
  if (choice[0] % 16 < 8) {
    Layout other = route.spec.layouts[0];
    other.id = "b";
    other.shards.resize(1);
    other.shards[0].replicas = {{{"127.0.9.1", 7000}, "fd", "region"},
                                {{"127.0.9.2", 7000}, "fd", "region"}};
    route.spec.layouts.push_back(std::move(other));
  }
  return route;
}

rc::Gen<Step> AnyStep() {
  return rc::gen::container<Step>(
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint8_t>()));
}

template <typename Testable>
bool CheckProperty(Testable testable) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = kHistories;
  const rc::detail::TestResult result = rc::detail::checkTestable(
      std::move(testable), rc::detail::TestMetadata(), params);
  rc::detail::printResultMessage(result, std::cerr);
  return result.is<rc::detail::SuccessResult>();
}

void CheckHistories(bool is_idempotent, bool has_canaries) {
  EngineCounters all;
  const bool is_satisfied = CheckProperty([&] {
    const Step choice = *AnyStep();
    const auto steps = *rc::gen::resize(
        kMaxSteps, rc::gen::container<std::vector<Step>>(AnyStep()));
    EngineOptions options;
    options.has_canaries = has_canaries;
    options.hedge_mode = HedgeMode::kFixedDelay;
    options.fixed_hedge_delay = milliseconds(5);
    Simulation simulation(RandomRoute(choice, is_idempotent), options);
    for (const Step& step : steps) {
      simulation.Run(step);
    }
    const std::vector<std::string> violations =
        simulation.Finish(kExtraLoadPercent);
    all.answers += simulation.Counters().answers;
    all.hedges += simulation.Counters().hedges;
    all.retries += simulation.Counters().retries;
    all.restarts += simulation.Counters().restarts;
    RC_ASSERT(violations == std::vector<std::string>{});
  });
  CHECK(is_satisfied);
  // The check is meaningful only if the histories exercise these paths.
  CHECK(all.answers > 0);
  CHECK(all.retries > 0);
  CHECK((all.hedges > 0) == is_idempotent);
  CHECK((all.restarts > 0) == is_idempotent);
  MESSAGE("answers ", all.answers, ", hedges ", all.hedges, ", retries ",
          all.retries, ", restarts ", all.restarts);
}

}  // namespace

TEST_CASE("idempotent queries satisfy the invariants in random histories") {
  SUBCASE("with canaries") {
    CheckHistories(true, true);
  }
  SUBCASE("without canaries") {
    CheckHistories(true, false);
  }
}

TEST_CASE("non-idempotent queries satisfy the invariants in random histories") {
  CheckHistories(false, true);
}

}  // namespace bramleyspoke
