#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/relay_log.h"
#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

using std::chrono::seconds;

// No slack: every retry must be paid for by new requests, ten of which allow
// one.
constexpr RetryAllowance kTightAllowance{0.1, 0};
constexpr milliseconds kWork{40};
constexpr milliseconds kDeadline{4000};
// More than the delay before a request that a leaf refused is sent again.
constexpr milliseconds kRefusedDelay{40};
// More than this daemon's share of a leaf, so that no request waits there.
constexpr std::uint32_t kSlots = 100;
// One in this many requests is refused when it first arrives at the leaf.
constexpr int kRefusedEvery = 6;

/// A service with one leaf, and requests that have several seconds.
class TightRelay : public RelayFixture {
 public:
  TightRelay() : RelayFixture(kTightAllowance) {
    time_left = kDeadline;
    slots = kSlots;
    AddLeaf("s0", "a");
  }

  /// Others ask every `interval` for `duration`, and are answered at once.
  void ServeOthers(Duration interval, Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      const RelayNumber number = Submit(0);
      Answer(number, LeafReplyKind::kSucceeded);
      Advance(interval);
    }
  }

  /// The leaf replies to the one attempt of the request.
  void Answer(RelayNumber number, LeafReplyKind kind) {
    const auto found =
        std::find_if(sends.begin(), sends.end(),
                     [&](const auto& send) { return send.request == number; });
    REQUIRE(found != sends.end());
    const RelayAttempt attempt = *found;
    sends.erase(found);
    ReplyTo(attempt, kind);
  }

  bool IsSent(RelayNumber number) const {
    return std::any_of(sends.begin(), sends.end(), [&](const auto& send) {
      return send.request == number;
    });
  }

  /// A request that the leaf refused when no retry was left, while others ask
  /// every `interval`.
  RelayNumber SubmitWithoutRetry(Duration interval) {
    RelayNumber number = 0;
    do {
      if (number != 0) {
        Answer(number, LeafReplyKind::kSucceeded);
      }
      number = Submit(0);
      Answer(number, LeafReplyKind::kRefused);
      ServeOthers(interval, kRefusedDelay);
    } while (IsSent(number));
    return number;
  }
};

/// Callers that send one request at a time, and again as a refusal says.
class Callers {
 public:
  Callers(TightRelay& relay, int callers, int requests)
      : m_relay(relay), m_callers(callers), m_requests(requests) {}

  void Run() {
    while (m_answered < m_requests && m_relay.now < m_give_up_at) {
      for (Caller& caller : m_callers) {
        Step(caller);
      }
      AnswerAttempts();
      m_relay.Advance(milliseconds(1));
    }
  }

  int Answered() const { return m_answered; }
  int Refused() const { return m_refused; }
  Duration LongestHeld() const { return m_longest_held; }

 private:
  struct Caller {
    std::optional<RelayNumber> number;
    TimePoint sent_at;
    TimePoint again_at;
    /// Whether the next request is one that was refused.
    bool is_repeat = false;
  };

  void Step(Caller& caller) {
    if (caller.number && m_relay.outcomes.contains(*caller.number)) {
      End(caller, m_relay.Outcome(*caller.number));
    }
    if (!caller.number && m_relay.now >= caller.again_at) {
      m_relay.Submit(0);
      caller.number = m_relay.last_number;
      caller.sent_at = m_relay.now;
      const bool is_refused =
          !caller.is_repeat && ++m_begun % kRefusedEvery == 0;
      m_is_refused[m_relay.last_number] = is_refused;
    }
  }

  void End(Caller& caller, const RelayOutcome& outcome) {
    caller.number.reset();
    caller.is_repeat = outcome.refusal.has_value();
    if (!outcome.refusal) {
      ++m_answered;
      return;
    }
    ++m_refused;
    CHECK(outcome.refusal->verdict == Verdict::kNotRun);
    m_longest_held =
        std::max<Duration>(m_longest_held, m_relay.now - caller.sent_at);
    const auto retry_after = outcome.refusal->retry_after;
    CHECK(retry_after.has_value());
    caller.again_at = m_relay.now + retry_after.value_or(Duration::zero());
  }

  void AnswerAttempts() {
    const std::vector<RelayAttempt> sends = m_relay.sends;
    for (const RelayAttempt& attempt : sends) {
      const auto [found, is_new] =
          m_arrived.emplace(attempt.number, m_relay.now);
      const bool is_refused =
          std::exchange(m_is_refused[attempt.request], false);
      if (is_new && is_refused) {
        m_relay.Answer(attempt.request, LeafReplyKind::kRefused);
      } else if (m_relay.now >= found->second + kWork) {
        m_relay.Answer(attempt.request, LeafReplyKind::kSucceeded);
      }
    }
  }

  TightRelay& m_relay;
  std::vector<Caller> m_callers;
  int m_requests;
  TimePoint m_give_up_at = m_relay.now + seconds(120);
  int m_begun = 0;
  int m_answered = 0;
  int m_refused = 0;
  Duration m_longest_held{0};
  std::map<RelayNumber, bool> m_is_refused;
  std::map<RelayAttemptNumber, TimePoint> m_arrived;
};

}  // namespace

// Guards against callers that all wait for a budget which only their own next
// requests would refill.
TEST_CASE("callers who alone refill the retry budget do not wait for it") {
  TightRelay relay;
  const TimePoint begin = relay.now;
  Callers callers(relay, 3, 360);
  callers.Run();
  const Duration taken = relay.now - begin;
  MESSAGE(
      "taken " << std::chrono::duration<double>(taken).count() << " s, refused "
               << callers.Refused() << ", held up to "
               << std::chrono::duration<double>(callers.LongestHeld()).count()
               << " s");
  CHECK(callers.Answered() >= 360);
  CHECK(callers.LongestHeld() < kDeadline / 4);
  CHECK(taken < seconds(15));
}

TEST_CASE("a request is held while others are about to refill the budget") {
  TightRelay relay;
  relay.ServeOthers(milliseconds(10), seconds(1));
  const RelayNumber number = relay.SubmitWithoutRetry(milliseconds(10));
  CHECK_FALSE(relay.outcomes.contains(number));
  relay.ServeOthers(milliseconds(10), milliseconds(200));
  REQUIRE(relay.IsSent(number));
  relay.Answer(number, LeafReplyKind::kSucceeded);
  CHECK_FALSE(relay.Outcome(number).refusal);
}

// An operator sees what a request waits for, and for how long.
TEST_CASE("a hold is reported once, with what it is expected to take") {
  TightRelay relay;
  relay.ServeOthers(milliseconds(10), seconds(1));
  relay.engine.TakeHeldRequests();
  const RelayNumber number = relay.SubmitWithoutRetry(milliseconds(10));
  relay.ServeOthers(milliseconds(10), milliseconds(200));
  relay.Answer(number, LeafReplyKind::kSucceeded);
  const std::vector<HeldRequest> held = relay.engine.TakeHeldRequests();
  REQUIRE(std::count_if(held.begin(), held.end(), [&](const auto& hold) {
            return hold.request == number;
          }) == 1);
  CHECK(held.back().request == number);
  CHECK(held.back().service == "s0");
  CHECK(held.back().budget < 1);
  CHECK(held.back().ahead == 0);
  CHECK(held.back().expected > Duration::zero());
  CHECK(held.back().expected < milliseconds(300));
  CHECK(held.back().time_left > seconds(3));
  const std::string text =
      DescribePartReports(relay.Outcome(number).part_reports);
  CHECK_MESSAGE(text.find(" ms)") != std::string::npos, text);
}

TEST_CASE("a held request ends soon after others have stopped") {
  TightRelay relay;
  relay.ServeOthers(milliseconds(10), seconds(1));
  const RelayNumber number = relay.SubmitWithoutRetry(milliseconds(10));
  relay.Advance(milliseconds(300));
  const auto& refusal = relay.Outcome(number).refusal;
  REQUIRE(refusal);
  CHECK(refusal->reason == RefusalReason::kOverloaded);
  CHECK(refusal->verdict == Verdict::kNotRun);
  REQUIRE(refusal->retry_after);
  CHECK(*refusal->retry_after <= milliseconds(500));
}

// The budget is refilled in time for a request that has four seconds, not for
// one that has little time left.
TEST_CASE("a request is not held for a budget that is refilled too late") {
  TightRelay relay;
  relay.ServeOthers(milliseconds(50), seconds(3));
  bool is_held = true;
  SUBCASE("four seconds") {}
  SUBCASE("a quarter of a second") {
    relay.time_left = milliseconds(250);
    is_held = false;
  }
  const RelayNumber number = relay.SubmitWithoutRetry(milliseconds(50));
  CHECK(relay.outcomes.contains(number) != is_held);
}

TEST_CASE("a request that no others follow is refused at once") {
  TightRelay relay;
  const RelayNumber number = relay.Submit(0, RequestKind::kNonIdempotent);
  relay.Answer(number, LeafReplyKind::kRefused);
  relay.Advance(milliseconds(100));
  const auto& refusal = relay.Outcome(number).refusal;
  REQUIRE(refusal);
  CHECK(refusal->verdict == Verdict::kNotRun);
  CHECK(refusal->retry_after);
}

TEST_CASE("a leaf's failure is passed on at once when no retry is left") {
  TightRelay relay;
  const RelayNumber number = relay.Submit(0);
  relay.Answer(number, LeafReplyKind::kFailed);
  relay.Advance(milliseconds(100));
  const RelayOutcome& outcome = relay.Outcome(number);
  CHECK_FALSE(outcome.refusal);
  REQUIRE(outcome.answers.size() == 1);
  CHECK(outcome.answers.front().body == "a");
}

TEST_CASE("a lost request says that it may have run when no retry is left") {
  TightRelay relay;
  const RelayNumber number = relay.Submit(0);
  relay.Answer(number, LeafReplyKind::kLost);
  relay.Advance(milliseconds(100));
  REQUIRE(relay.Outcome(number).refusal);
  CHECK(relay.Outcome(number).refusal->verdict == Verdict::kMayHaveRun);
}

// Otherwise one that came later could take what an earlier one waits for.
TEST_CASE("held requests are sent in the order in which they came") {
  TightRelay relay;
  relay.ServeOthers(milliseconds(5), seconds(1));
  const RelayNumber first = relay.SubmitWithoutRetry(milliseconds(5));
  const RelayNumber second = relay.Submit(0);
  relay.Answer(second, LeafReplyKind::kRefused);
  while (!relay.IsSent(first) && !relay.IsSent(second)) {
    relay.ServeOthers(milliseconds(5), milliseconds(5));
  }
  CHECK(relay.IsSent(first));
  CHECK_FALSE(relay.IsSent(second));
  relay.Answer(first, LeafReplyKind::kSucceeded);
  relay.ServeOthers(milliseconds(5), milliseconds(100));
  CHECK(relay.IsSent(second));
}

}  // namespace bramleyspoke
