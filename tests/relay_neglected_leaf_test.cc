#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

using std::chrono::seconds;

// A leaf that may get requests gets one at the latest when it has had none for
// this long, and the others of its service this many.
constexpr seconds kBound{2};
constexpr std::size_t kOthersBound = 50;

constexpr milliseconds kRequestInterval{5};

/// A daemon that relays one request at a time to a service with two leafs. Both
/// answer at once, and the daemon prefers "a" at equal cost.
class PreferringRelay : public RelayFixture {
 public:
  explicit PreferringRelay(const std::string& domain = "d1") {
    AddLeaf("s0", "a");
    AddLeaf("s0", "b", domain);
  }

  /// "b" gets `count` requests, as "a" has its share in use, and answers them.
  void LetAnswer(int count, LeafReplyKind kind, Duration after) {
    std::vector<RelayAttempt> attempts;
    while (attempts.size() < static_cast<std::size_t>(count)) {
      Submit(0);
      const RelayAttempt attempt = sends.back();
      sends.pop_back();
      (attempt.leaf_id == "b" ? attempts : m_held).push_back(attempt);
    }
    for (const RelayAttempt& attempt : std::exchange(m_held, {})) {
      ReplyTo(attempt, LeafReplyKind::kSucceeded);
    }
    now += after;
    for (const RelayAttempt& attempt : attempts) {
      ReplyTo(attempt, kind);
    }
    AnswerAll();
  }

  /// Sends requests one after another. Returns when one of them reached "b".
  std::vector<Duration> Run(Duration duration,
                            Duration interval = kRequestInterval,
                            RequestKind kind = RequestKind::kIdempotent) {
    std::vector<Duration> reached;
    const TimePoint begin = now;
    while (now < begin + duration) {
      Advance(interval);
      Submit(0, kind);
      if (IsSentTo("b")) {
        reached.push_back(now - begin);
      }
      AnswerAll();
    }
    return reached;
  }

  /// How long "b" takes to answer while `Run` sends.
  Duration time_of_b{0};

 private:
  void AnswerAll() {
    while (!sends.empty()) {
      now += sends.front().leaf_id == "b" ? time_of_b : Duration::zero();
      Reply(sends.front().leaf_id, LeafReplyKind::kSucceeded);
    }
  }

  std::vector<RelayAttempt> m_held;
};

bool HasNotice(const std::vector<LeafNotice>& notices, LeafNoticeKind kind) {
  return std::any_of(notices.begin(), notices.end(),
                     [&](const auto& notice) { return notice.kind == kind; });
}

}  // namespace

// For up to 17 s no daemon sent it any: each still held the rate that the leaf
// had ended, and its sibling cost 3 % less.
TEST_CASE(
    "a daemon learns that a leaf's rate has ended though the sibling costs "
    "less") {
  PreferringRelay relay;
  relay.named_rates = {{"b", 10}};
  relay.LetAnswer(2, LeafReplyKind::kSucceeded, milliseconds(5));
  REQUIRE(
      HasNotice(relay.engine.TakeLeafNotices(), LeafNoticeKind::kRateLimited));
  relay.named_rates.clear();
  relay.Run(kBound + kRequestInterval);
  CHECK(HasNotice(relay.engine.TakeLeafNotices(),
                  LeafNoticeKind::kRateLimitEnded));
}

TEST_CASE("a leaf that was worse once gets a request again in time") {
  PreferringRelay relay;
  SUBCASE("it answered slowly") {
    relay.LetAnswer(3, LeafReplyKind::kSucceeded, milliseconds(100));
  }
  SUBCASE("it failed") {
    relay.LetAnswer(2, LeafReplyKind::kFailed, milliseconds(5));
  }
  SUBCASE("it refused") {
    relay.LetAnswer(1, LeafReplyKind::kRefused, milliseconds(5));
  }
  const auto reached = relay.Run(kBound + kRequestInterval);
  CHECK_FALSE(reached.empty());
}

TEST_CASE("a leaf gets no more than its rate because it has had no requests") {
  PreferringRelay relay;
  relay.engine.SetDaemons({{"r1", 4}});
  relay.named_rates = {{"b", 0.5}};
  relay.LetAnswer(1, LeafReplyKind::kSucceeded, milliseconds(5));
  // An eighth of a request a second is this daemon's.
  const auto reached = relay.Run(seconds(41));
  CHECK(reached.size() == 5);
}

TEST_CASE("a slow leaf gets one in so many of few requests") {
  constexpr std::size_t kRequests = 300;
  constexpr milliseconds kInterval{200};
  PreferringRelay relay;
  relay.time_of_b = milliseconds(20);
  relay.LetAnswer(3, LeafReplyKind::kSucceeded, relay.time_of_b);
  const auto reached = relay.Run(kInterval * kRequests, kInterval);
  CHECK(reached.size() <= kRequests / kOthersBound);
  CHECK(reached.size() > 3);
}

TEST_CASE("only requests that fit go to a leaf that had none for long") {
  SUBCASE("not while it would answer late") {
    PreferringRelay relay;
    relay.LetAnswer(3, LeafReplyKind::kSucceeded, milliseconds(1500));
    const auto reached = relay.Run(seconds(10));
    REQUIRE_FALSE(reached.empty());
    CHECK(reached.front() > kBound);
  }
  SUBCASE("not those that can't be repeated") {
    PreferringRelay relay;
    relay.LetAnswer(3, LeafReplyKind::kSucceeded, milliseconds(100));
    CHECK(relay
              .Run(kBound + seconds(1), kRequestInterval,
                   RequestKind::kNonIdempotent)
              .empty());
  }
  SUBCASE("not those of other regions") {
    PreferringRelay relay("d2");
    CHECK(relay.Run(seconds(10)).empty());
  }
}

}  // namespace bramleyspoke
