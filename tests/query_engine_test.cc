#include "request/query_engine.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "engine_fixture.h"
#include "request/admission.h"

namespace bramleyspoke {

TEST_CASE("hits of all shards are merged by score, then by id") {
  EngineFixture f(MakeRoute(3, 2));
  f.ReportAllStatuses();
  f.Submit(1);
  const std::vector<std::vector<Hit>> hits = {
      {{"b", 2, ""}}, {{"a", 2, ""}, {"z", 1, ""}}, {{"c", 3, ""}}};
  for (std::size_t i = 0; i < 3; ++i) {
    REQUIRE(f.sends.size() > i);
    f.Reply(SendAction(f.sends[i]), Answered(hits[i]));
  }
  REQUIRE(f.finishes.size() == 1);
  const SearchOutcome& outcome = f.finishes[0].outcome;
  REQUIRE(outcome.answer);
  CHECK(outcome.answer->coverage == 1);
  CHECK(outcome.verdict == Verdict::kRan);
  std::string ids;
  for (const Hit& hit : outcome.answer->hits) {
    ids += hit.id;
  }
  CHECK(ids == "cabz");
}

TEST_CASE("an attempt that was not run is retried on another replica") {
  EngineFixture f(MakeRoute(1, 2));
  f.ReportAllStatuses();
  f.Submit(1);
  f.Reply(SendAction(f.sends.at(0)), RefusedBy(LeafReason::kShed));
  REQUIRE(f.sends.size() == 2);
  CHECK(f.sends[0].leaf != f.sends[1].leaf);
  f.Reply(SendAction(f.sends[1]), Answered());
  REQUIRE(f.finishes.size() == 1);
  CHECK(f.finishes[0].outcome.answer);
}

TEST_CASE("a query without a known snapshot waits briefly, then is refused") {
  EngineFixture f(MakeRoute(1, 1));
  f.Submit(1);
  CHECK(f.finishes.empty());
  SUBCASE("a status arrives in time") {
    f.ReportAllStatuses();
    CHECK(f.sends.size() == 1);
  }
  SUBCASE("no status arrives") {
    f.Advance(milliseconds(500));
    REQUIRE(f.finishes.size() == 1);
    const SearchOutcome& outcome = f.finishes[0].outcome;
    REQUIRE(outcome.refusal);
    CHECK(outcome.refusal->reason == RefusalReason::kNoSnapshot);
    CHECK(outcome.refusal->retry_after);
    CHECK(outcome.verdict == Verdict::kNotRun);
  }
}

TEST_CASE("a query waits briefly for leafs that never reported a status") {
  EngineFixture f(MakeRoute(2, 1));
  const std::vector<Shard>& shards = f.route.spec.layouts[0].shards;
  const IndexVersion version{1, f.route.spec.layouts[0].id};
  f.Submit(1);
  f.ReportStatus(shards[0].replicas[0].leaf, {version});
  CHECK(f.sends.empty());
  SUBCASE("the last status arrives in time") {
    f.ReportStatus(shards[1].replicas[0].leaf, {version});
    f.AnswerAll();
    REQUIRE(f.finishes.size() == 1);
    CHECK(f.finishes[0].outcome.answer->coverage == 1);
  }
  SUBCASE("the last leaf is reported to be unavailable") {
    f.CollectActions(
        f.engine->OnLeafStatus(shards[1].replicas[0].leaf, {}, f.now));
    CHECK(f.sends.size() == 1);
  }
  SUBCASE("the last status does not arrive") {
    f.Advance(milliseconds(500));
    f.AnswerAll();
    REQUIRE(f.finishes.size() == 1);
    CHECK(f.finishes[0].outcome.answer->coverage == 0.5);
  }
}

TEST_CASE("at its deadline a query returns the answers received so far") {
  EngineFixture f(MakeRoute(2, 1));
  f.ReportAllStatuses();
  f.Submit(1);
  f.Reply(SendAction(f.sends.at(0)), Answered());
  f.Advance(milliseconds(1000));
  REQUIRE(f.finishes.size() == 1);
  REQUIRE(f.finishes[0].outcome.answer);
  CHECK(f.finishes[0].outcome.answer->coverage == 0.5);
  REQUIRE(f.finishes[0].outcome.answer->missing.size() == 1);
  CHECK(f.finishes[0].outcome.answer->missing[0].shard ==
        f.sends.at(1).attempt.shard);
}

// Guards against ending an expired query before the drain notice of the same
// event is handled: another query could then send an attempt to the draining
// leaf.
TEST_CASE("a drain notice applies to attempts sent in the same event") {
  for (int i = 0; i < 16; ++i) {
    EngineFixture f(MakeRoute(4, 1));
    f.ReportAllStatuses();
    f.Submit(1, "q" + std::to_string(i), milliseconds(263));
    f.Submit(2, "q" + std::to_string(i), milliseconds(1));
    f.now += milliseconds(256);
    std::set<Endpoint> drained;
    for (std::uint32_t shard = 0; shard < 4; ++shard) {
      const std::size_t sent_before = f.sends.size();
      drained.insert(LeafOf(shard, 0));
      f.ReportStatus(LeafOf(shard, 0), {{1, "a"}}, "1", true);
      for (std::size_t j = sent_before; j < f.sends.size(); ++j) {
        CHECK_FALSE(drained.contains(f.sends[j].leaf));
      }
    }
  }
}

TEST_CASE(
    "an unanswered attempt gets one hedge, and the slower of the two is "
    "cancelled") {
  EngineOptions options;
  options.hedge_mode = HedgeMode::kFixedDelay;
  options.fixed_hedge_delay = milliseconds(10);
  options.has_canaries = false;
  ServiceRoute route = MakeRoute(2, 3);
  SUBCASE("if the service is idempotent") {
    EngineFixture f(route, options);
    f.ReportAllStatuses();
    f.Submit(1);
    f.Advance(milliseconds(9));
    CHECK(f.sends.size() == 2);
    f.Advance(milliseconds(100));
    REQUIRE(f.sends.size() == 4);
    CHECK(f.sends[0].leaf != f.sends[2].leaf);
    f.Reply(SendAction(f.sends[2]), Answered());
    REQUIRE(f.cancels.size() == 1);
    CHECK(f.cancels[0].attempt_id == f.sends[0].attempt.attempt_id);
    CHECK(f.engine->Counters().hedge_wins == 1);
    f.Reply(SendAction(f.sends[0]), Answered());
    CHECK(f.engine->Counters().late_answers == 1);
    f.Reply(SendAction(f.sends[1]), Answered());
    CHECK(f.finishes.size() == 1);
  }
  SUBCASE("not if the service is non-idempotent") {
    route.spec.idempotent = false;
    EngineFixture f(route, options);
    f.ReportAllStatuses();
    f.Submit(1);
    f.Advance(milliseconds(900));
    CHECK(f.sends.size() == 2);
  }
  SUBCASE("not if the service is overloaded") {
    EngineFixture f(MakeRoute(2, 3), options);
    f.ReportAllStatuses();
    // Each shard has 12 slots, so 8 tasks wait at each. Then shard 0 gets free
    // slots, with one attempt that stays unanswered.
    for (QueryNumber number = 0; number < 20; ++number) {
      f.Submit(number);
    }
    for (std::size_t i = 0; i + 1 < f.sends.size(); ++i) {
      if (f.sends[i].attempt.shard == 0 && i != 0) {
        f.Reply(SendAction(f.sends[i]), Answered());
      }
    }
    REQUIRE(f.sends[0].attempt.shard == 0);
    f.Advance(milliseconds(900));
    CHECK(f.engine->Counters().hedges == 0);
  }
}

TEST_CASE("a request that was never answered goes to one leaf first") {
  EngineFixture f(MakeRoute(8, 2));
  f.ReportAllStatuses();
  f.Submit(1);
  CHECK(f.sends.size() == 1);
  f.Reply(SendAction(f.sends[0]), Answered());
  CHECK(f.sends.size() == 8);
  f.Submit(2);
  CHECK(f.sends.size() == 16);
  // The request may crash the new version even if the old one answered it.
  f.ReportAllStatuses(2);
  f.Submit(3);
  CHECK(f.sends.size() == 17);
}

TEST_CASE("crash evidence of a peer ends a query in flight with a refusal") {
  EngineFixture f(MakeRoute(2, 1));
  f.ReportAllStatuses();
  f.Submit(1);
  f.Reply(SendAction(f.sends.at(0)), Failed(AttemptResult::kLost));
  const std::vector<CrashEvidence> ours = f.engine->TakeEvidence();
  REQUIRE(ours.size() == 1);
  CHECK(ours[0].crashes == 1);
  f.CollectActions(f.engine->OnPeerEvidence({ours[0].fingerprint, 1}, f.now));
  REQUIRE(f.finishes.size() == 1);
  REQUIRE(f.finishes[0].outcome.refusal);
  CHECK(f.finishes[0].outcome.refusal->reason == RefusalReason::kCrashSuspect);
  CHECK(f.finishes[0].outcome.verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a query with too large an answer is refused, not truncated") {
  ServiceRoute route = MakeRoute(1, 1);
  route.spec.max_answer_bytes = 200;
  route.spec.max_hits = 10;
  EngineFixture f(route);
  f.ReportAllStatuses();
  f.Submit(1);
  f.Reply(SendAction(f.sends.at(0)),
          Answered({{"a", 1, std::string(100, 'x')},
                    {"b", 2, std::string(100, 'x')}}));
  REQUIRE(f.finishes.size() == 1);
  REQUIRE(f.finishes[0].outcome.refusal);
  CHECK(f.finishes[0].outcome.refusal->reason == RefusalReason::kTooLarge);
  CHECK(f.finishes[0].outcome.verdict == Verdict::kRan);
}

TEST_CASE("queries that cannot be served in time are refused at once") {
  ServiceRoute route = MakeRoute(2, 1);
  route.spec.slots = 1;
  EngineOptions options;
  options.has_canaries = false;
  EngineFixture f(route, options);
  f.ReportAllStatuses();
  f.Submit(0);
  f.now += milliseconds(40);
  f.AnswerAll();
  // Each query takes 40 ms, and waiting may take a quarter of the deadline of
  // 1 s: 6 queries can wait.
  for (QueryNumber number = 1; number <= 40; ++number) {
    f.Submit(number);
  }
  REQUIRE(f.finishes.size() > 30);
  REQUIRE(f.finishes.size() < 36);
  const SearchOutcome& refused = f.finishes.back().outcome;
  REQUIRE(refused.refusal);
  CHECK(refused.refusal->reason == RefusalReason::kOverloaded);
  CHECK(refused.verdict == Verdict::kNotRun);
  REQUIRE(refused.refusal->retry_after);
  CHECK(*refused.refusal->retry_after > milliseconds(200));
  CHECK(*refused.refusal->retry_after < milliseconds(300));
}

TEST_CASE("an idempotent query restarts if its version is no longer served") {
  EngineOptions options;
  options.has_canaries = false;
  EngineFixture f(MakeRoute(2, 1), options);
  f.ReportAllStatuses(1);
  f.Submit(1);
  f.Reply(SendAction(f.sends.at(0)), Answered({{"old", 1, ""}}));
  f.ReportStatus(LeafOf(0, 0), {{2, "a"}});
  f.ReportStatus(LeafOf(1, 0), {{2, "a"}});
  f.Reply(SendAction(f.sends.at(1)), RefusedBy(LeafReason::kVersionMissing));
  REQUIRE(f.sends.size() == 4);
  CHECK(f.sends[2].attempt.version.number == 2);
  f.Reply(SendAction(f.sends[2]), Answered({{"new", 1, ""}}));
  f.Reply(SendAction(f.sends[3]), Answered());
  REQUIRE(f.finishes.size() == 1);
  REQUIRE(f.finishes[0].outcome.answer);
  CHECK(f.finishes[0].outcome.answer->version.number == 2);
  CHECK(f.finishes[0].outcome.answer->hits.size() == 1);
  CHECK(f.finishes[0].outcome.answer->hits[0].id == "new");
}

TEST_CASE(
    "during a version change queries wait briefly for the status of all "
    "leafs") {
  EngineOptions options;
  options.has_canaries = false;
  EngineFixture f(MakeRoute(2, 1), options);
  f.ReportAllStatuses(1);
  SUBCASE("a new query") {
    f.ReportStatus(LeafOf(0, 0), {{2, "a"}});
    f.Submit(1);
    CHECK(f.sends.empty());
    CHECK(f.engine->WantsStatus());
    f.ReportStatus(LeafOf(1, 0), {{2, "a"}});
    CHECK(f.sends.size() == 2);
  }
  SUBCASE("a new query, and no status arrives") {
    f.ReportStatus(LeafOf(0, 0), {{2, "a"}});
    f.Submit(1);
    f.Advance(milliseconds(500));
    CHECK(f.sends.size() == 1);
  }
  SUBCASE("a query in flight") {
    f.Submit(1);
    f.Reply(SendAction(f.sends.at(0)), RefusedBy(LeafReason::kVersionMissing));
    f.Reply(SendAction(f.sends.at(1)), RefusedBy(LeafReason::kVersionMissing));
    CHECK(f.finishes.empty());
    f.ReportStatus(LeafOf(0, 0), {{2, "a"}});
    f.ReportStatus(LeafOf(1, 0), {{2, "a"}});
    f.Advance(milliseconds(50));
    REQUIRE(f.sends.size() == 4);
    CHECK(f.sends.back().attempt.version.number == 2);
  }
}

TEST_CASE("a caller that disconnects ends only idempotent queries") {
  ServiceRoute route = MakeRoute(1, 1);
  bool ends = true;
  SUBCASE("idempotent") {}
  SUBCASE("non-idempotent") {
    route.spec.idempotent = false;
    ends = false;
  }
  EngineFixture f(route);
  f.ReportAllStatuses();
  f.Submit(1);
  f.CollectActions(f.engine->OnCallerDisconnected(1, f.now));
  CHECK(f.finishes.size() == (ends ? 1 : 0));
  CHECK(f.cancels.size() == (ends ? 1 : 0));
}

TEST_CASE("a leaf that sheds load gets no attempts for a short time") {
  EngineOptions options;
  options.has_canaries = false;
  EngineFixture f(MakeRoute(1, 2), options);
  f.ReportAllStatuses();
  f.Submit(0);
  const Endpoint shedding = f.sends.at(0).leaf;
  f.Reply(SendAction(f.sends[0]), RefusedBy(LeafReason::kShed));
  for (QueryNumber number = 1; number < 4; ++number) {
    f.Submit(number);
    CHECK(f.sends.back().leaf != shedding);
  }
  f.now += milliseconds(10);
  f.Submit(4);
  CHECK(f.sends.back().leaf == shedding);
}

TEST_CASE("a query without any answer is refused with the reason") {
  struct Row {
    AttemptOutcome outcome;
    RefusalReason reason;
    Verdict verdict;
  };
  const std::vector<Row> rows = {{RefusedBy(LeafReason::kShed),
                                  RefusalReason::kOverloaded, Verdict::kNotRun},
                                 {RefusedBy(LeafReason::kDraining),
                                  RefusalReason::kNoReplica, Verdict::kNotRun},
                                 {Failed(AttemptResult::kNotSent),
                                  RefusalReason::kNoReplica, Verdict::kNotRun},
                                 {Failed(AttemptResult::kLost),
                                  RefusalReason::kLost, Verdict::kMayHaveRun},
                                 {Failed(AttemptResult::kWrongAnswer),
                                  RefusalReason::kLost, Verdict::kMayHaveRun}};
  for (const Row& row : rows) {
    ServiceRoute route = MakeRoute(1, 2);
    route.spec.extra_load_percent = 0;
    EngineFixture f(route);
    f.ReportAllStatuses();
    f.Submit(1);
    for (; f.answered < f.sends.size(); ++f.answered) {
      f.Reply(SendAction(f.sends[f.answered]), row.outcome);
    }
    CAPTURE(std::string(ToString(row.reason)));
    REQUIRE(f.finishes.size() == 1);
    REQUIRE(f.finishes[0].outcome.refusal);
    CHECK(f.finishes[0].outcome.refusal->reason == row.reason);
    CHECK(f.finishes[0].outcome.verdict == row.verdict);
  }
}

TEST_CASE("queries in flight and their memory are bounded") {
  ServiceRoute route = MakeRoute(2, 1);
  route.spec.slots = 10000;
  route.spec.max_answer_bytes = 2 << 20;
  EngineOptions options;
  options.has_canaries = false;
  EngineFixture f(route, options);
  SUBCASE("by number of queries") {
    for (QueryNumber number = 0; number <= Admission::kMaxQueriesInFlight;
         ++number) {
      f.Submit(number);
    }
  }
  SUBCASE("by bytes of hits") {
    f.ReportAllStatuses();
    for (QueryNumber number = 0; number < 128; ++number) {
      f.Submit(number);
      const SendAction send = f.sends.at(2 * number);
      f.Reply(send, Answered({{"a", 1, std::string(1 << 20, 'x')}}));
    }
  }
  REQUIRE(f.finishes.size() == 1);
  REQUIRE(f.finishes[0].outcome.refusal);
  CHECK(f.finishes[0].outcome.refusal->reason == RefusalReason::kOverloaded);
  CHECK(f.finishes[0].outcome.refusal->retry_after);
  f.Advance(std::chrono::seconds(2));
  CHECK(f.engine->DumpJson(f.now).find("\"held_bytes\":0,") !=
        std::string::npos);
}

TEST_CASE("queries with a canary in flight count as load at all shards") {
  ServiceRoute route = MakeRoute(2, 1);
  route.spec.slots = 1;
  EngineFixture f(route);
  f.ReportAllStatuses();
  f.Submit(0, "first");
  f.now += milliseconds(40);
  f.AnswerAll();
  // An attempt takes a slot for 20 ms on average and the longest wait is 250
  // ms, so a slot serves 12 attempts in that time. Each query needs one attempt
  // at both shards, and its canary one more at one of them.
  for (QueryNumber number = 1; number <= 20; ++number) {
    f.Submit(number, "q" + std::to_string(number));
  }
  CHECK(f.engine->InFlight() >= 7);
  CHECK(f.engine->InFlight() <= 11);
}

TEST_CASE("a task that cannot be answered in time takes no slot") {
  ServiceRoute route = MakeRoute(1, 1);
  route.spec.slots = 1;
  EngineOptions options;
  options.has_canaries = false;
  EngineFixture f(route, options);
  f.ReportAllStatuses();
  f.Submit(0);
  f.now += milliseconds(20);
  f.AnswerAll();
  f.Submit(1);
  f.Submit(2, "q", milliseconds(120));
  f.now += milliseconds(100);
  f.AnswerAll();
  CHECK(f.sends.size() == 2);
  REQUIRE(f.finishes.size() == 3);
  for (const FinishAction& finish : f.finishes) {
    const bool is_late = finish.query == 2;
    CHECK(finish.outcome.verdict ==
          (is_late ? Verdict::kNotRun : Verdict::kRan));
  }
}

}  // namespace bramleyspoke
