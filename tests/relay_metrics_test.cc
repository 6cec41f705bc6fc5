#include "process/relay_metrics.h"

#include <doctest/doctest.h>

#include <string>

#include "held_store.h"
#include "process/relay_dump.h"
#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

std::size_t CountOccurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

TEST_CASE("relay metrics count requests by route and outcome") {
  const auto metrics = RelayMetrics::Create();
  Route route;
  route.name = "lookup";
  RelayEnd end;
  end.route = &route;
  end.status = 200;
  metrics->Observe(end);
  end.missing_shards = 2;
  metrics->Observe(end);
  end.status = 503;
  end.refusal = RelayRefusal{RefusalReason::kNoReplica, Verdict::kNotRun, {}};
  metrics->Observe(end);
  const std::string text = metrics->Text(RelayObservation());
  for (const char* outcome : {"answered", "partial", "no_replica"}) {
    CHECK(text.find(R"(outcome=")" + std::string(outcome) +
                    R"(",route="lookup")") != std::string::npos);
  }
}

TEST_CASE("the number of route labels is bounded") {
  const auto metrics = RelayMetrics::Create();
  for (int i = 0; i < 1000; ++i) {
    Route route;
    route.name = "route-" + std::to_string(i);
    RelayEnd end;
    end.route = &route;
    end.status = 200;
    metrics->Observe(end);
  }
  const std::string text = metrics->Text(RelayObservation());
  CHECK(CountOccurrences(text, "bramleyspoke_relay_requests_total{") == 33);
  CHECK(text.find(R"(route="other",status="200"} 968)") != std::string::npos);
}

TEST_CASE("skipped responses are counted by whether they name a request") {
  const auto metrics = RelayMetrics::Create();
  metrics->Observe(SkippedResponse{"a", "leaf", "b", 200, {1, 2}});
  metrics->Observe(SkippedResponse{"a", "leaf", "", 400, {1, 3}});
  metrics->Observe(SkippedResponse{"a", "leaf", "c", 500, {1, 4}});
  const std::string text = metrics->Text(RelayObservation());
  const std::string name = "bramleyspoke_relay_skipped_responses_total";
  CHECK(text.find(name + R"({names="another"} 2)") != std::string::npos);
  CHECK(text.find(name + R"({names="none"} 1)") != std::string::npos);
}

TEST_CASE("crash evidence is counted by step") {
  const auto metrics = RelayMetrics::Create();
  CrashEvidenceEvent event;
  event.step = CrashEvidenceStep::kExpired;
  metrics->Observe(event);
  const std::string text = metrics->Text(RelayObservation());
  CHECK(text.find(R"(crash_evidence_total{step="expired"} 1)") !=
        std::string::npos);
}

TEST_CASE("store calls are counted by kind and outcome") {
  auto held = std::make_unique<HeldStore>();
  HeldStore& store = *held;
  const auto metrics = RelayMetrics::Create();
  const auto counted = CountStoreCalls(
      std::move(held), [&](StoreCallKind kind, KeyValueStatus status) {
        metrics->Observe(kind, status);
      });
  int answers = 0;
  counted->Watch("", 1, milliseconds(1),
                 [&](const KeyValueChanges&) { ++answers; });
  counted->CancelWatches();
  counted->Renew(1, [&](KeyValueStatus) { ++answers; });
  store.AnswerRenew(KeyValueStatus::kOk);
  CHECK(answers == 2);
  const std::string text = metrics->Text(RelayObservation());
  CHECK(text.find(R"(calls_total{kind="watch",outcome="unknown"} 1)") !=
        std::string::npos);
  CHECK(text.find(R"(calls_total{kind="renew",outcome="ok"} 1)") !=
        std::string::npos);
}

TEST_CASE("metrics and dump report leafs by state") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.AddLeaf("s0", "b", "d1", true);
  relay.AddLeaf("s0", "c");
  relay.CollectActions(
      relay.engine.OnReachable(relay.leafs[2].address, false, relay.now));
  RelayObservation now;
  now.by_state = relay.engine.Leafs().CountByState(relay.now);
  now.least_budget = relay.engine.Leafs().LeastBudget();
  CHECK(now.least_budget > 0);
  const std::string text = RelayMetrics::Create()->Text(now);
  for (const char* state : {"ready", "draining", "unreachable"}) {
    CHECK(text.find(R"(relay_leafs{state=")" + std::string(state) +
                    R"("} 1)") != std::string::npos);
  }
  const std::string dump =
      MakeRelayDump("name", now, {}, relay.engine.Leafs(), relay.now);
  CHECK(dump.find(R"("state":"unreachable")") != std::string::npos);
  CHECK(dump.find(R"("repeats_left")") != std::string::npos);
}

}  // namespace bramleyspoke
