#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

using std::chrono::seconds;

constexpr seconds kAcceptTime{3};
constexpr seconds kStopTime{5};
constexpr seconds kLongDeadline{15};
// Ten new requests allow one retry.
constexpr RetryAllowance kFewRetries{0.1, 0};
// More than this daemon's share of a leaf, so that no request waits there.
constexpr std::uint32_t kSlots = 100;

/// A service with one leaf, for requests whose deadline is after the end of a
/// planned stop.
class StoppingRelay : public RelayFixture {
 public:
  explicit StoppingRelay(RetryAllowance allowance = {1, 100})
      : RelayFixture(allowance) {
    time_left = kLongDeadline;
    slots = kSlots;
    AddLeaf("s0", "a");
  }

  void BeginStop() {
    CollectActions(engine.BeginStop({now + kAcceptTime, now + kStopTime}, now));
  }

  /// A request that its leaf refused, which waits for the retry budget: others
  /// came in the last second that would soon have refilled it.
  RelayNumber SubmitForBudget() {
    LearnLatency(milliseconds(40));
    const RelayNumber number = Submit(0);
    while (!sends.empty()) {
      Reply("a", LeafReplyKind::kRefused);
      Advance(milliseconds(60));
    }
    REQUIRE_FALSE(outcomes.contains(number));
    return number;
  }

  /// A request that waits for a leaf, as this daemon's share of it is in use.
  RelayNumber SubmitForLeaf() {
    std::size_t sent = 0;
    do {
      sent = sends.size();
      Submit(0);
    } while (sends.size() > sent);
    return last_number;
  }

  /// Lets the leaf answer some requests after `latency`.
  void LearnLatency(Duration latency) {
    for (int request = 0; request < 20; ++request) {
      Submit(0);
      now += latency;
      Reply("a", LeafReplyKind::kSucceeded);
    }
  }

  void CheckNotRun(RelayNumber number) {
    const RelayOutcome& outcome = Outcome(number);
    REQUIRE(outcome.refusal);
    CHECK(outcome.refusal->reason == RefusalReason::kShuttingDown);
    CHECK(outcome.refusal->verdict == Verdict::kNotRun);
    CHECK(outcome.refusal->retry_after);
  }
};

}  // namespace

// Guards against closing what waits in a daemon unanswered at its planned stop.
TEST_CASE("a planned stop refuses what waits as not run") {
  StoppingRelay relay(kFewRetries);
  SUBCASE("for the retry budget") {
    const RelayNumber number = relay.SubmitForBudget();
    relay.BeginStop();
    relay.Advance(milliseconds(50));
    relay.CheckNotRun(number);
  }
  SUBCASE("for a leaf") {
    const RelayNumber number = relay.SubmitForLeaf();
    relay.BeginStop();
    relay.Advance(kStopTime);
    relay.CheckNotRun(number);
  }
  SUBCASE("for a leaf, since after the stop began") {
    relay.BeginStop();
    const RelayNumber number = relay.SubmitForLeaf();
    relay.Advance(kStopTime);
    relay.CheckNotRun(number);
  }
}

TEST_CASE(
    "a planned stop refuses what waits as soon as no leaf could answer it") {
  constexpr milliseconds kLatency{800};
  StoppingRelay relay;
  relay.LearnLatency(kLatency);
  const RelayNumber number = relay.SubmitForLeaf();
  relay.BeginStop();
  relay.Advance(milliseconds(100));
  CHECK_FALSE(relay.outcomes.contains(number));
  relay.Advance(kStopTime - kLatency);
  relay.CheckNotRun(number);
}

TEST_CASE("a planned stop sends nothing that leafs could not answer in time") {
  StoppingRelay relay;
  relay.LearnLatency(seconds(3));
  relay.BeginStop();
  const RelayNumber number = relay.Submit(0);
  relay.CheckNotRun(number);
  CHECK(relay.sends.empty());
}

// Guards against cutting off requests that were accepted late in a stop.
TEST_CASE("a planned stop refuses new requests at once when it is late") {
  StoppingRelay relay;
  relay.BeginStop();
  relay.Advance(kAcceptTime - milliseconds(1));
  relay.Submit(0);
  CHECK(relay.sends.size() == 1);
  relay.Advance(milliseconds(1));
  SUBCASE("of callers") {
    relay.CheckNotRun(relay.Submit(0));
  }
  SUBCASE("of peers, which send them elsewhere") {
    relay.is_for_peer = true;
    const RelayNumber number = relay.Submit(1);
    relay.CheckNotRun(number);
    REQUIRE(relay.Outcome(number).uncovered.size() == 1);
    CHECK_FALSE(relay.Outcome(number).uncovered.front().is_pending);
  }
  CHECK(relay.sends.size() == 1);
}

TEST_CASE("a planned stop dispatches what waits while there is time") {
  StoppingRelay relay;
  const RelayNumber number = relay.SubmitForLeaf();
  relay.BeginStop();
  relay.Advance(milliseconds(100));
  relay.Reply("a", LeafReplyKind::kSucceeded);
  REQUIRE(relay.sends.back().request == number);
  relay.ReplyTo(relay.sends.back(), LeafReplyKind::kSucceeded);
  CHECK_FALSE(relay.Outcome(number).refusal);
}

TEST_CASE("what a leaf still has when a planned stop ends may have run") {
  StoppingRelay relay;
  RequestKind kind = RequestKind::kIdempotent;
  SUBCASE("idempotent") {}
  SUBCASE("not idempotent") {
    kind = RequestKind::kNonIdempotent;
  }
  const RelayNumber number = relay.Submit(0, kind);
  relay.BeginStop();
  relay.Advance(kStopTime - milliseconds(1));
  CHECK_FALSE(relay.outcomes.contains(number));
  relay.Advance(milliseconds(1));
  REQUIRE(relay.Outcome(number).refusal);
  CHECK(relay.Outcome(number).refusal->verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a leaf's answer in a planned stop is delivered") {
  StoppingRelay relay;
  const RelayNumber number = relay.Submit(0);
  relay.BeginStop();
  relay.Advance(kStopTime - milliseconds(1));
  relay.Reply("a", LeafReplyKind::kSucceeded);
  CHECK_FALSE(relay.Outcome(number).refusal);
}

// It then says whether the request has run, before the stop's end.
TEST_CASE("a leaf gives an attempt up before a planned stop ends") {
  StoppingRelay relay;
  relay.BeginStop();
  relay.Submit(0);
  CHECK(relay.sends.front().leaf_deadline < relay.now + kStopTime);
}

TEST_CASE("a caller's earlier deadline holds in a planned stop") {
  StoppingRelay relay;
  relay.time_left = seconds(1);
  const RelayNumber number = relay.SubmitForLeaf();
  relay.BeginStop();
  relay.Advance(seconds(1));
  CHECK(relay.Outcome(number).refusal->reason ==
        RefusalReason::kDeadlinePassed);
}

TEST_CASE("a peer's request ends with a planned stop and names what is left") {
  StoppingRelay relay;
  relay.AddLeaf("s1", "b");
  relay.is_for_peer = true;
  const RelayNumber number = relay.Submit(2);
  relay.Reply("a", LeafReplyKind::kSucceeded);
  relay.outcomes.clear();
  relay.BeginStop();
  relay.Advance(kStopTime);
  const RelayOutcome& outcome = relay.Outcome(number);
  CHECK_FALSE(outcome.is_continued);
  CHECK(relay.engine.InFlight() == 0);
}

TEST_CASE("the stages of requests tell what waits from what a leaf has") {
  StoppingRelay relay;
  relay.SubmitForLeaf();
  const RequestStages stages = relay.engine.Stages();
  CHECK(stages.waiting == 1);
  CHECK(stages.at_leafs == relay.sends.size());
  CHECK(stages.at_peers == 0);
}

}  // namespace bramleyspoke
