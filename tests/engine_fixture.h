#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "request/query_engine.h"

namespace bramleyspoke {

using std::chrono::milliseconds;

inline Endpoint LeafOf(std::uint32_t shard, std::uint32_t replica) {
  return {"127.0.2." + std::to_string(shard + 1),
          static_cast<std::uint16_t>(7000 + replica)};
}

/// Returns a route with one holder and one layout "a" of `shards` times
/// `replicas` leafs.
inline ServiceRoute MakeRoute(std::uint32_t shards, std::uint32_t replicas) {
  ServiceRoute route;
  route.spec.name = "search";
  route.spec.slots = 4;
  route.holders.resize(1);
  route.is_held_here = true;
  Layout layout{"a", {}};
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    Shard entry{shard, {}};
    for (std::uint32_t replica = 0; replica < replicas; ++replica) {
      entry.replicas.push_back({LeafOf(shard, replica), "fd", "region"});
    }
    layout.shards.push_back(std::move(entry));
  }
  route.spec.layouts.push_back(std::move(layout));
  return route;
}

inline AttemptOutcome Answered(std::vector<Hit> hits = {}, double covered = 1) {
  AttemptOutcome outcome;
  outcome.result = AttemptResult::kAnswered;
  outcome.verdict = Verdict::kRan;
  outcome.hits = std::move(hits);
  outcome.covered = covered;
  outcome.incarnation = "1";
  return outcome;
}

inline AttemptOutcome RefusedBy(LeafReason reason) {
  AttemptOutcome outcome;
  outcome.result = AttemptResult::kRefused;
  outcome.reason = reason;
  outcome.incarnation = "1";
  return outcome;
}

inline AttemptOutcome Failed(AttemptResult result) {
  AttemptOutcome outcome;
  outcome.result = result;
  outcome.verdict = result == AttemptResult::kNotSent ? Verdict::kNotRun
                                                      : Verdict::kMayHaveRun;
  return outcome;
}

/// An engine with a manual clock; collects the actions it returns.
struct EngineFixture {
  explicit EngineFixture(ServiceRoute initial_route,
                         EngineOptions options = {},
                         std::string prefix = "e~")
      : route(std::move(initial_route)),
        engine(QueryEngine::Create(std::make_shared<ServiceRoute>(route),
                                   std::move(prefix),
                                   1,
                                   options)) {}

  void CollectActions(EngineActions actions) {
    for (SendAction& send : actions.sends) {
      sends.push_back(std::move(send));
    }
    for (CancelAction& cancel : actions.cancels) {
      cancels.push_back(std::move(cancel));
    }
    for (FinishAction& finish : actions.finishes) {
      finishes.push_back(std::move(finish));
    }
  }

  void ReportStatus(const Endpoint& leaf,
                    std::vector<IndexVersion> versions,
                    std::string incarnation = "1",
                    bool draining = false) {
    LeafStatus status;
    status.versions = std::move(versions);
    status.incarnation = std::move(incarnation);
    status.draining = draining;
    CollectActions(engine->OnLeafStatus(leaf, status, now));
  }

  /// Reports version `number` for every leaf of every layout.
  void ReportAllStatuses(std::uint64_t number = 1) {
    for (const Layout& layout : route.spec.layouts) {
      for (const Shard& shard : layout.shards) {
        for (const Replica& replica : shard.replicas) {
          ReportStatus(replica.leaf, {{number, layout.id}});
        }
      }
    }
  }

  void Submit(QueryNumber number,
              std::string query = "q",
              milliseconds within = milliseconds(1000)) {
    SearchRequest request;
    request.request_id = "r" + std::to_string(number);
    request.service = route.spec.name;
    request.query = std::move(query);
    request.deadline = now + within;
    CollectActions(engine->Submit(number, std::move(request), now));
  }

  void Reply(const SendAction& send, AttemptOutcome outcome) {
    CollectActions(
        engine->OnAttempt(send.attempt.attempt_id, std::move(outcome), now));
  }

  /// Answers all attempts in order, including those sent meanwhile.
  void AnswerAll() {
    for (; answered < sends.size(); ++answered) {
      const SendAction send = sends[answered];
      Reply(send, Answered());
    }
  }

  /// Advances the clock by `span` and runs the timers that become due.
  void Advance(Duration span) {
    const TimePoint end = now + span;
    while (engine->NextTimer() && *engine->NextTimer() <= end) {
      now = std::max(now, *engine->NextTimer());
      CollectActions(engine->OnTimer(now));
    }
    now = end;
  }

  ServiceRoute route;
  TimePoint now{std::chrono::hours(1)};
  std::unique_ptr<QueryEngine> engine;
  std::vector<SendAction> sends;
  std::vector<CancelAction> cancels;
  std::vector<FinishAction> finishes;
  std::size_t answered = 0;
};

}  // namespace bramleyspoke
