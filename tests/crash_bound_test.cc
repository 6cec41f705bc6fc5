#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <map>

#include "engine_fixture.h"

namespace bramleyspoke {
namespace {

constexpr milliseconds kStatusPeriod{500};

/// Simulates daemons that share leafs; each leaf crashes on the request it
/// runs.
class CrashSimulation {
 public:
  CrashSimulation(std::size_t daemons, std::uint64_t seed) : m_random(seed) {
    for (std::size_t i = 0; i < daemons; ++i) {
      m_daemons.push_back(std::make_unique<EngineFixture>(
          MakeRoute(kShards, 2), EngineOptions{}, std::to_string(i) + "~"));
      PollStatus(i);
    }
  }

  void SubmitAt(milliseconds at, std::size_t daemon, milliseconds within) {
    Schedule(m_now + at, [this, daemon, within] {
      EngineFixture& f = Daemon(daemon);
      f.Submit(++m_last_query, "poison", within);
      HandleActions(daemon);
    });
  }

  void Run(Duration span) {
    const TimePoint end = m_now + span;
    while (m_now < end) {
      TimePoint next = m_events.empty() ? end : m_events.begin()->first;
      std::size_t timer_of = m_daemons.size();
      for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        const auto timer = m_daemons[i]->engine->NextTimer();
        if (timer && *timer < next) {
          next = *timer;
          timer_of = i;
        }
      }
      m_now = std::max(m_now, std::min(next, end));
      if (timer_of < m_daemons.size()) {
        EngineFixture& f = Daemon(timer_of);
        f.CollectActions(f.engine->OnTimer(m_now));
        HandleActions(timer_of);
      } else if (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto event = m_events.extract(m_events.begin());
        event.mapped()();
      }
    }
  }

  int Crashes() const { return m_crashes; }
  const std::vector<FinishAction>& Finishes(std::size_t daemon) {
    return m_daemons[daemon]->finishes;
  }

  static constexpr std::uint32_t kShards = 6;

 private:
  struct Leaf {
    int incarnation = 1;
    TimePoint unavailable_until;
    std::vector<std::pair<std::size_t, SendAction>> running;
  };

  EngineFixture& Daemon(std::size_t index) {
    m_daemons[index]->now = m_now;
    return *m_daemons[index];
  }

  void Schedule(TimePoint at, std::function<void()> event) {
    m_events.emplace(at, std::move(event));
  }

  std::uint64_t Random(std::uint64_t bound) {
    m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
    return (m_random >> 33U) % bound;
  }

  void PollStatus(std::size_t daemon) {
    EngineFixture& f = Daemon(daemon);
    for (const Layout& layout : f.route.spec.layouts) {
      for (const Shard& shard : layout.shards) {
        for (const Replica& replica : shard.replicas) {
          const Leaf& leaf = m_leafs[replica.leaf];
          f.ReportStatus(replica.leaf, {{1, "a"}},
                         std::to_string(leaf.incarnation));
        }
      }
    }
    HandleActions(daemon);
    Schedule(m_now + kStatusPeriod, [this, daemon] { PollStatus(daemon); });
  }

  void HandleActions(std::size_t daemon) {
    EngineFixture& f = *m_daemons[daemon];
    const std::vector<SendAction> sends = std::exchange(f.sends, {});
    const std::vector<CancelAction> cancels = std::exchange(f.cancels, {});
    for (const SendAction& send : sends) {
      Schedule(m_now, [this, daemon, send] { Arrive(daemon, send); });
    }
    for (const CancelAction& cancel : cancels) {
      Schedule(m_now, [this, daemon, cancel] { Cancel(daemon, cancel); });
    }
    DeliverEvidence(daemon);
  }

  // A cancelled attempt continues to run at its leaf, which is the worst case.
  void Cancel(std::size_t daemon, const CancelAction& cancel) {
    Reply(daemon, cancel.attempt_id, Failed(AttemptResult::kCancelled));
  }

  void Arrive(std::size_t daemon, const SendAction& send) {
    Leaf& leaf = m_leafs[send.leaf];
    if (m_now < leaf.unavailable_until) {
      Reply(daemon, send.attempt.attempt_id, Failed(AttemptResult::kNotSent));
      return;
    }
    leaf.running.emplace_back(daemon, send);
    const int incarnation = leaf.incarnation;
    Schedule(m_now + milliseconds(Random(240)),
             [this, endpoint = send.leaf, incarnation] {
               Crash(endpoint, incarnation);
             });
  }

  void Crash(const Endpoint& endpoint, int incarnation) {
    Leaf& leaf = m_leafs[endpoint];
    if (leaf.incarnation != incarnation) {
      return;
    }
    ++m_crashes;
    ++leaf.incarnation;
    leaf.unavailable_until = m_now + milliseconds(Random(100));
    for (const auto& [daemon, send] : std::exchange(leaf.running, {})) {
      Reply(daemon, send.attempt.attempt_id, Failed(AttemptResult::kLost));
    }
  }

  void Reply(std::size_t daemon,
             const std::string& attempt_id,
             AttemptOutcome outcome) {
    EngineFixture& f = Daemon(daemon);
    f.CollectActions(
        f.engine->OnAttempt(attempt_id, std::move(outcome), m_now));
    HandleActions(daemon);
  }

  // Crash evidence arrives at the other daemons late, or is lost.
  void DeliverEvidence(std::size_t from) {
    for (const CrashEvidence& evidence :
         m_daemons[from]->engine->TakeEvidence()) {
      for (std::size_t to = 0; to < m_daemons.size(); ++to) {
        if (to != from && Random(4) != 0) {
          Schedule(m_now + milliseconds(Random(100)), [this, to, evidence] {
            EngineFixture& f = Daemon(to);
            f.CollectActions(f.engine->OnPeerEvidence(evidence, m_now));
            HandleActions(to);
          });
        }
      }
    }
  }

  TimePoint m_now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<EngineFixture>> m_daemons;
  std::map<Endpoint, Leaf> m_leafs;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::uint64_t m_random;
  QueryNumber m_last_query = 0;
  int m_crashes = 0;
};

}  // namespace

TEST_CASE(
    "a request that crashes every leaf crashes at most two leafs per daemon") {
  const bool is_satisfied = rc::check([] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 5);
    CrashSimulation simulation(daemons, *rc::gen::arbitrary<std::uint64_t>());
    // The caller sends the request to every daemon, repeatedly and
    // concurrently.
    const auto resends = *rc::gen::inRange<int>(1, 40);
    for (int i = 0; i < resends; ++i) {
      const auto at = *rc::gen::inRange<int>(0, 5000);
      const auto within = *rc::gen::inRange<int>(5, 1000);
      simulation.SubmitAt(milliseconds(at),
                          static_cast<std::size_t>(i) % daemons,
                          milliseconds(within));
    }
    simulation.Run(std::chrono::seconds(10));
    RC_ASSERT(simulation.Crashes() >= 1);
    RC_ASSERT(simulation.Crashes() <= 2 * static_cast<int>(daemons));
  });
  CHECK(is_satisfied);
}

TEST_CASE("a request that crashed two leafs is refused when sent again") {
  CrashSimulation simulation(1, 1);
  simulation.SubmitAt(milliseconds(0), 0, milliseconds(1000));
  simulation.Run(std::chrono::seconds(2));
  simulation.SubmitAt(milliseconds(0), 0, milliseconds(1000));
  simulation.Run(std::chrono::seconds(1));
  CHECK(simulation.Crashes() == 2);
  REQUIRE(simulation.Finishes(0).size() == 2);
  const SearchOutcome& first = simulation.Finishes(0)[0].outcome;
  CHECK(first.verdict == Verdict::kMayHaveRun);
  const SearchOutcome& second = simulation.Finishes(0)[1].outcome;
  REQUIRE(second.refusal);
  CHECK(second.refusal->reason == RefusalReason::kCrashSuspect);
  CHECK(second.verdict == Verdict::kNotRun);
}

}  // namespace bramleyspoke
