#include "request/query_engine.h"

#include <doctest/doctest.h>

#include "engine_fixture.h"

namespace bramleyspoke {

TEST_CASE("hits of all shards are merged by score, then by id") {
  EngineFixture f(MakeRoute(3, 2));
  f.StatusOfAll();
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

TEST_CASE("a shard that was not run is asked on another replica") {
  EngineFixture f(MakeRoute(1, 2));
  f.StatusOfAll();
  f.Submit(1);
  f.Reply(SendAction(f.sends.at(0)), RefusedBy(LeafReason::kShed));
  REQUIRE(f.sends.size() == 2);
  CHECK(f.sends[0].leaf != f.sends[1].leaf);
  f.Reply(SendAction(f.sends[1]), Answered());
  REQUIRE(f.finishes.size() == 1);
  CHECK(f.finishes[0].outcome.answer);
}

TEST_CASE("a query without a known snapshot waits shortly, then is refused") {
  EngineFixture f(MakeRoute(1, 1));
  f.Submit(1);
  CHECK(f.finishes.empty());
  SUBCASE("a status comes in time") {
    f.StatusOfAll();
    CHECK(f.sends.size() == 1);
  }
  SUBCASE("no status comes") {
    f.Advance(milliseconds(500));
    REQUIRE(f.finishes.size() == 1);
    const SearchOutcome& outcome = f.finishes[0].outcome;
    REQUIRE(outcome.refusal);
    CHECK(outcome.refusal->reason == RefusalReason::kNoSnapshot);
    CHECK(outcome.refusal->retry_after);
    CHECK(outcome.verdict == Verdict::kNotRun);
  }
}

TEST_CASE("a query waits shortly for leafs that were never heard of") {
  EngineFixture f(MakeRoute(2, 1));
  const std::vector<Shard>& shards = f.route.spec.layouts[0].shards;
  const IndexVersion version{1, f.route.spec.layouts[0].id};
  f.Submit(1);
  f.Status(shards[0].replicas[0].leaf, {version});
  CHECK(f.sends.empty());
  SUBCASE("the last status comes in time") {
    f.Status(shards[1].replicas[0].leaf, {version});
    f.AnswerAll();
    REQUIRE(f.finishes.size() == 1);
    CHECK(f.finishes[0].outcome.answer->coverage == 1);
  }
  SUBCASE("the last status can't be had") {
    f.Take(f.engine->OnLeafStatus(shards[1].replicas[0].leaf, {}, f.now));
    CHECK(f.sends.size() == 1);
  }
  SUBCASE("the last status does not come") {
    f.Advance(milliseconds(500));
    f.AnswerAll();
    REQUIRE(f.finishes.size() == 1);
    CHECK(f.finishes[0].outcome.answer->coverage == 0.5);
  }
}

TEST_CASE("at its deadline a query ends with what it has") {
  EngineFixture f(MakeRoute(2, 1));
  f.StatusOfAll();
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

}  // namespace bramleyspoke
