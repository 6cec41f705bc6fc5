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
constexpr int kMostSteps = 200;
constexpr double kExtraLoadPercent = 5;

struct WorldLeaf {
  std::uint64_t incarnation = 1;
  std::vector<IndexVersion> versions;
  bool is_draining = false;
  /// Whether the engine was notified that this incarnation drains.
  bool was_drain_told = false;
};

/// Simulates leafs and a network as directed by random steps, and records the
/// history.
class World {
 public:
  World(ServiceRoute route, EngineOptions options)
      : m_f(std::move(route), options) {
    for (const Layout& layout : m_f.route.spec.layouts) {
      m_history.shards_of_layout[layout.id] = layout.shards.size();
      for (const Shard& shard : layout.shards) {
        for (const Replica& replica : shard.replicas) {
          m_leafs[replica.leaf].versions.push_back({1, layout.id});
          m_endpoints.push_back(replica.leaf);
        }
      }
    }
    for (const auto& [endpoint, leaf] : m_leafs) {
      TellStatus(endpoint);
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
        return Outcome(step, AttemptResult::kLost);
      case 5:
        return Outcome(step, AttemptResult::kTimedOut);
      case 6:
        return Outcome(step, AttemptResult::kNotSent);
      case 7:
        return Outcome(step, AttemptResult::kWrongAnswer);
      case 8:
      case 9:
        return Outcome(step, AttemptResult::kRefused);
      case 10:
        return Repeat(step);
      case 11:
        return Crash(leaf);
      case 12:
        return ChangeVersions(leaf, step);
      case 13:
        m_leafs[leaf].is_draining = true;
        return step[2] % 2 == 0 ? TellStatus(leaf) : TellPeerDrain(leaf);
      case 14:
        return ChangeRoute(step);
      case 15:
        return Take(m_f.engine->OnCallerGone(step[1], m_f.now));
      case 16:
        m_f.now += milliseconds(step[1] * 8);
        return;
      case 17:
      case 18:
      case 19:
        return Advance(milliseconds(step[1] % 64));
      case 20:
        return Take(m_f.engine->OnLeafStatus(leaf, std::nullopt, m_f.now));
      default:
        return Outcome(step, AttemptResult::kAnswered);
    }
  }

  /// Gives every attempt an outcome, lets all queries reach their deadline, and
  /// checks the history.
  std::vector<std::string> Finish(double percent) {
    while (!m_out.empty()) {
      Outcome({0, 0, 0, 0}, AttemptResult::kTimedOut);
    }
    Advance(std::chrono::seconds(30));
    while (!m_out.empty()) {
      Outcome({0, 0, 0, 0}, AttemptResult::kTimedOut);
    }
    if (m_f.engine->InFlight() != 0) {
      m_history.faults.push_back("queries in flight after all deadlines");
    }
    return m_history.Check(percent);
  }

  const EngineCounters& Counters() const { return m_f.engine->Counters(); }

 private:
  void Take(EngineActions actions) {
    ++m_history.event;
    for (SendAction& send : actions.sends) {
      Sent(std::move(send));
    }
    for (FinishAction& finish : actions.finishes) {
      m_history.finished_at[finish.query] = m_history.event;
      m_history.outcomes[finish.query].push_back(std::move(finish.outcome));
    }
  }

  void Sent(SendAction send) {
    const WorldLeaf& leaf = m_leafs[send.leaf];
    if (leaf.was_drain_told || m_f.route.leaving.contains(send.leaf)) {
      m_history.faults.push_back("attempt sent to a draining leaf");
    }
    const std::uint32_t holders =
        std::max<std::uint32_t>(1, m_f.route.holders.size());
    const std::uint32_t share =
        std::max<std::uint32_t>(1, m_f.route.spec.slots / holders);
    if (++m_in_flight[send.leaf] > share) {
      m_history.faults.push_back("more attempts in flight than slots");
    }
    if (send.attempt.deadline <= m_f.now) {
      m_history.faults.push_back("attempt sent after its deadline");
    }
    AttemptEvents events;
    events.send = std::move(send);
    events.query = std::stoull(events.send.attempt.request_id.substr(1));
    events.sent_at = m_history.event;
    const std::string id = events.send.attempt.attempt_id;
    m_out.push_back(id);
    m_history.attempts[id] = std::move(events);
  }

  void SubmitQuery(const Step& step) {
    const QueryNumber number = m_history.submitted.size();
    SearchRequest request;
    request.request_id = "r" + std::to_string(number);
    request.service = "search";
    request.query = "q" + std::to_string(step[2] % 4);
    request.limit = 100;
    request.deadline = m_f.now + milliseconds(1 + step[1] * 2);
    m_history.submitted[number] = request;
    m_history.idempotent[number] = m_f.route.spec.idempotent;
    m_history.outcomes[number];
    Take(m_f.engine->Submit(number, std::move(request), m_f.now));
  }

  void Outcome(const Step& step, AttemptResult result) {
    if (m_out.empty()) {
      return;
    }
    const std::size_t index = step[1] % m_out.size();
    const std::string id = m_out[index];
    m_out.erase(m_out.begin() + static_cast<std::ptrdiff_t>(index));
    Deliver(id, MakeOutcome(m_history.attempts[id], result, step));
  }

  void Deliver(const std::string& id, AttemptOutcome outcome) {
    AttemptEvents& events = m_history.attempts[id];
    WorldLeaf& leaf = m_leafs[events.send.leaf];
    --m_in_flight[events.send.leaf];
    events.has_outcome = true;
    events.result = outcome.result;
    events.covered = outcome.covered;
    events.was_not_run = outcome.verdict == Verdict::kNotRun;
    events.outcome_at = m_history.event + 1;
    leaf.was_drain_told |= outcome.draining;
    m_last = id;
    m_last_outcome = outcome;
    Take(m_f.engine->OnAttempt(id, std::move(outcome), m_f.now));
  }

  AttemptOutcome MakeOutcome(AttemptEvents& events,
                             AttemptResult result,
                             const Step& step) {
    const WorldLeaf& leaf = m_leafs[events.send.leaf];
    AttemptOutcome outcome = Failed(result);
    const bool has_word =
        result == AttemptResult::kAnswered || result == AttemptResult::kRefused;
    if (has_word) {
      outcome.incarnation = std::to_string(leaf.incarnation);
      outcome.draining = leaf.is_draining;
    }
    if (result == AttemptResult::kAnswered) {
      events.has_run = true;
      outcome.verdict = Verdict::kRan;
      outcome.covered = step[2] % 4 == 0 ? 0.5 : 1;
      outcome.hits = {{EngineHistory::HitOf(events.send.attempt), 1, ""}};
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

  void Repeat(const Step&) {
    if (m_last_outcome) {
      Take(m_f.engine->OnAttempt(m_last, *m_last_outcome, m_f.now));
    }
  }

  void Crash(const Endpoint& endpoint) {
    WorldLeaf& leaf = m_leafs[endpoint];
    ++leaf.incarnation;
    leaf.is_draining = false;
    leaf.was_drain_told = false;
    const std::vector<std::string> out = m_out;
    for (const std::string& id : out) {
      if (m_history.attempts[id].send.leaf == endpoint) {
        std::erase(m_out, id);
        m_history.attempts[id].has_run = true;
        Deliver(id, Failed(AttemptResult::kLost));
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
      TellStatus(endpoint);
    }
  }

  void ChangeRoute(const Step& step) {
    m_f.route.leaving.clear();
    if (step[1] % 2 == 0) {
      m_f.route.leaving.insert(m_endpoints[step[2] % m_endpoints.size()]);
    }
    if (step[3] % 4 == 0) {
      std::reverse(m_f.route.spec.layouts.begin(),
                   m_f.route.spec.layouts.end());
    }
    if (step[3] % 8 == 1) {
      m_f.route.spec.layouts.resize(1);
    }
    Take(m_f.engine->OnRoute(std::make_shared<ServiceRoute>(m_f.route),
                             m_f.now));
  }

  void TellStatus(const Endpoint& endpoint) {
    WorldLeaf& leaf = m_leafs[endpoint];
    LeafStatus status;
    status.versions = leaf.versions;
    status.incarnation = std::to_string(leaf.incarnation);
    status.draining = leaf.is_draining;
    leaf.was_drain_told |= leaf.is_draining;
    Take(m_f.engine->OnLeafStatus(endpoint, status, m_f.now));
  }

  void TellPeerDrain(const Endpoint& endpoint) {
    WorldLeaf& leaf = m_leafs[endpoint];
    leaf.was_drain_told = true;
    Take(m_f.engine->OnPeerDrain({endpoint, std::to_string(leaf.incarnation)},
                                 m_f.now));
  }

  void Advance(Duration span) {
    const TimePoint end = m_f.now + span;
    while (m_f.engine->NextTimer() && *m_f.engine->NextTimer() <= end) {
      m_f.now = std::max(m_f.now, *m_f.engine->NextTimer());
      Take(m_f.engine->OnTimer(m_f.now));
    }
    m_f.now = std::max(m_f.now, end);
  }

  EngineFixture m_f;
  EngineHistory m_history;
  std::map<Endpoint, WorldLeaf> m_leafs;
  std::map<Endpoint, std::uint32_t> m_in_flight;
  std::vector<Endpoint> m_endpoints;
  std::vector<std::string> m_out;
  std::string m_last;
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
bool CheckMany(Testable testable) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = kHistories;
  const rc::detail::TestResult result = rc::detail::checkTestable(
      std::move(testable), rc::detail::TestMetadata(), params);
  rc::detail::printResultMessage(result, std::cerr);
  return result.is<rc::detail::SuccessResult>();
}

void CheckHistories(bool is_idempotent, bool has_canaries) {
  EngineCounters all;
  const bool is_kept = CheckMany([&] {
    const Step choice = *AnyStep();
    const auto steps = *rc::gen::resize(
        kMostSteps, rc::gen::container<std::vector<Step>>(AnyStep()));
    EngineOptions options;
    options.has_canaries = has_canaries;
    options.hedge_mode = HedgeMode::kFixedDelay;
    options.fixed_hedge_delay = milliseconds(5);
    World world(RandomRoute(choice, is_idempotent), options);
    for (const Step& step : steps) {
      world.Run(step);
    }
    const std::vector<std::string> faults = world.Finish(kExtraLoadPercent);
    all.answers += world.Counters().answers;
    all.hedges += world.Counters().hedges;
    all.retries += world.Counters().retries;
    all.restarts += world.Counters().restarts;
    RC_ASSERT(faults == std::vector<std::string>{});
  });
  CHECK(is_kept);
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
