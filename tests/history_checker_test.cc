#include "history_checker.h"

#include <doctest/doctest.h>

#include <functional>

namespace bramleyspoke {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

TimePoint After(int milliseconds) {
  return kStart + std::chrono::milliseconds(milliseconds);
}

LeafEvent MakeLeafEvent(LeafEventKind kind, std::uint32_t shard, int at) {
  LeafEvent event;
  event.kind = kind;
  event.at = After(at);
  event.leaf = "127.0.2.1:7000";
  event.request_id = "r1";
  event.attempt_id = "a" + std::to_string(shard);
  event.service = "desk";
  event.shard = shard;
  event.version = IndexVersion{41, "a"};
  return event;
}

CallerEvent MakeCallerEvent() {
  CallerEvent event;
  event.daemon = Endpoint{"127.0.1.1", 8080};
  event.service = "desk";
  event.sent_id = "r1";
  event.request_id = "r1";
  event.query = "q-1;";
  event.limit = 10;
  event.sent_at = After(0);
  event.ended_at = After(20);
  event.address_valid_until = After(10'000);
  event.end = CallerEnd::kAnswered;
  event.verdict = Verdict::kRan;
  event.answer.version = IndexVersion{41, "a"};
  event.answer.coverage = 1;
  event.answer.hits = {Hit{"desk/0/41/1", 1, "q-1; x"},
                       Hit{"desk/1/41/1", 1, "q-1; y"}};
  return event;
}

// A request over two shards, a publish, a drained leaf and a planned stop.
History MakeValidHistory() {
  History history;
  history.services["desk"] = ServiceProperties{false, 1, {{"a", 2}}};
  history.callers = {MakeCallerEvent()};
  for (const std::uint32_t shard : {0U, 1U}) {
    history.leafs.push_back(MakeLeafEvent(LeafEventKind::kReceived, shard, 5));
    history.leafs.push_back(MakeLeafEvent(LeafEventKind::kStarted, shard, 6));
    history.leafs.push_back(MakeLeafEvent(LeafEventKind::kFinished, shard, 10));
  }
  history.store = {StoreEvent{1, "p1"}, StoreEvent{2, "p2"}};
  history.publishes = {
      PublishEvent{After(0), "p1", PublishEnd::kAccepted, 1},
      PublishEvent{After(100), "p2", PublishEnd::kAccepted, 2},
      PublishEvent{After(100), "p3", PublishEnd::kConflict, 0}};
  history.generations = {GenerationEvent{After(50), "d1", "i1", 1},
                         GenerationEvent{After(14'050), "d1", "i1", 2},
                         GenerationEvent{After(15'000), "d1", "i2", 2}};
  history.drains = {DrainEvent{After(0), "127.0.2.1:7000"}};
  history.stops = {
      StopEvent{Endpoint{"127.0.1.1", 8080}, After(10), After(9'000), 0}};
  return history;
}

struct ForgedHistory {
  const char* name;
  Guarantee guarantee;
  std::function<void(History&)> forge;
};

void RefuseAsNotRun(History& history) {
  CallerEvent& event = history.callers.front();
  event.end = CallerEnd::kRefused;
  event.verdict = Verdict::kNotRun;
}

// Adds a second execution of a shard of the request, on another leaf.
void AddSecondExecution(History& history) {
  LeafEvent second_start = MakeLeafEvent(LeafEventKind::kStarted, 1, 300);
  second_start.leaf = "127.0.2.2:7000";
  history.leafs.push_back(second_start);
}

const std::vector<ForgedHistory>& ForgedHistories() {
  static const std::vector<ForgedHistory> kForged = {
      {"a hit from another index version", Guarantee::kOneSnapshot,
       [](History& h) { h.callers[0].answer.hits[1].id = "desk/1/40/1"; }},
      {"an unknown layout", Guarantee::kOneSnapshot,
       [](History& h) { h.callers[0].answer.version.layout = "b"; }},
      {"a covered shard that ran another index version",
       Guarantee::kTrueCoverage,
       [](History& h) { h.leafs[5].version.number = 40; }},
      {"a covered shard that finished after the answer",
       Guarantee::kTrueCoverage, [](History& h) { h.leafs[5].at = After(21); }},
      {"coverage that contradicts the list of missing shards",
       Guarantee::kTrueCoverage,
       [](History& h) { h.callers[0].answer.coverage = 0.5; }},
      {"a missing shard with hits", Guarantee::kTrueCoverage,
       [](History& h) {
         h.callers[0].answer.missing = {MissingShard{1, 0}};
         h.callers[0].answer.coverage = 0.5;
       }},
      {"another caller's hit", Guarantee::kOwnWholeAnswer,
       [](History& h) { h.callers[0].answer.hits[0].text = "q-2; x"; }},
      {"another request's id", Guarantee::kOwnWholeAnswer,
       [](History& h) { h.callers[0].sent_id = "r2"; }},
      {"a lost hit", Guarantee::kOwnWholeAnswer,
       [](History& h) { h.callers[0].answer.hits.pop_back(); }},
      {"a duplicated hit", Guarantee::kOwnWholeAnswer,
       [](History& h) {
         h.callers[0].answer.hits.push_back(h.callers[0].answer.hits[0]);
       }},
      {"refused as not run, but started", Guarantee::kNotRun, RefuseAsNotRun},
      {"a resend refused as not run after the request ran", Guarantee::kNotRun,
       [](History& h) {
         CallerEvent resend = MakeCallerEvent();
         resend.sent_at = After(500);
         resend.ended_at = After(501);
         resend.end = CallerEnd::kRefused;
         resend.verdict = Verdict::kNotRun;
         h.callers.push_back(resend);
       }},
      {"a second execution", Guarantee::kAtMostOnce, AddSecondExecution},
      {"a second execution in another layout", Guarantee::kAtMostOnce,
       [](History& h) {
         LeafEvent second_start =
             MakeLeafEvent(LeafEventKind::kStarted, 7, 300);
         second_start.version.layout = "b";
         h.leafs.push_back(second_start);
       }},
      {"a new attempt to a draining leaf", Guarantee::kNoAttemptToDraining,
       [](History& h) {
         h.leafs.push_back(MakeLeafEvent(LeafEventKind::kReceived, 1, 3'001));
       }},
      {"a request lost in a planned stop", Guarantee::kGracefulStop,
       [](History& h) { h.callers[0].end = CallerEnd::kLost; }},
      {"a refused connection while the address answer is valid",
       Guarantee::kGracefulStop,
       [](History& h) {
         CallerEvent& event = h.callers[0];
         event.end = CallerEnd::kNotSent;
         event.sent_at = After(9'500);
         event.ended_at = After(9'501);
       }},
      {"a planned stop with a non-zero exit status", Guarantee::kGracefulStop,
       [](History& h) { h.stops[0].exit_status = 137; }},
      {"a generation that decreased", Guarantee::kManifestInForce,
       [](History& h) {
         h.generations.push_back(GenerationEvent{After(15'001), "d1", "i2", 1});
       }},
      {"a generation not reached in time", Guarantee::kManifestInForce,
       [](History& h) {
         h.generations = {GenerationEvent{After(14'101), "d1", "i1", 1}};
       }},
      {"a publish reported as accepted but not written",
       Guarantee::kManifestInForce, [](History& h) { h.store.pop_back(); }},
      {"a publish reported as a conflict but written",
       Guarantee::kManifestInForce,
       [](History& h) {
         h.store.push_back(StoreEvent{3, "p3"});
       }},
      {"two writes of the same generation", Guarantee::kManifestInForce,
       [](History& h) {
         h.store.push_back(StoreEvent{2, "p4"});
       }},
  };
  return kForged;
}

}  // namespace

TEST_CASE("a history without violations passes") {
  CHECK(Describe(CheckHistory(MakeValidHistory())).empty());

  SUBCASE("when a refused send is followed by one that runs") {
    History history = MakeValidHistory();
    CallerEvent refused = MakeCallerEvent();
    refused.sent_at = After(-20);
    refused.ended_at = After(-10);
    refused.end = CallerEnd::kRefused;
    refused.verdict = Verdict::kNotRun;
    history.callers.push_back(refused);
    CHECK(Describe(CheckHistory(history)).empty());
  }
  SUBCASE("when the successor of a stopped daemon is unreachable") {
    History history = MakeValidHistory();
    CallerEvent later = MakeCallerEvent();
    later.end = CallerEnd::kNotSent;
    later.address_received_at = After(9'100);
    later.address_valid_until = After(19'100);
    later.sent_at = After(12'000);
    later.ended_at = After(12'001);
    history.callers.push_back(later);
    CHECK(Describe(CheckHistory(history)).empty());
  }
  SUBCASE("when an idempotent request runs twice") {
    History history = MakeValidHistory();
    history.services["desk"].is_idempotent = true;
    AddSecondExecution(history);
    CHECK(Describe(CheckHistory(history)).empty());
  }
}

TEST_CASE("a forged violation is reported for the guarantee that it violates") {
  for (const ForgedHistory& forged : ForgedHistories()) {
    CAPTURE(forged.name);
    History history = MakeValidHistory();
    forged.forge(history);
    const auto violations = CheckHistory(history);
    REQUIRE_FALSE(violations.empty());
    const bool is_found = std::any_of(
        violations.begin(), violations.end(),
        [&](const auto& v) { return v.guarantee == forged.guarantee; });
    CHECK_MESSAGE(is_found, Describe(violations));
  }
}

TEST_CASE("an execution log is parsed line by line") {
  const auto events = ParseLeafLog(
      R"({"seq":1,"at_ns":5,"leaf":"127.0.2.1:7000","event":"started",)"
      R"("request_id":"r","attempt_id":"a","service":"desk","shard":3,)"
      R"("version":41,"layout":"b","idempotent":false})"
      "\n");
  REQUIRE(events.size() == 1);
  CHECK(events[0].kind == LeafEventKind::kStarted);
  CHECK(events[0].version == IndexVersion{41, "b"});
  CHECK_FALSE(events[0].is_idempotent);
}

}  // namespace bramleyspoke
