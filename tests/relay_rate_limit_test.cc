#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "loaded_fleet.h"
#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

using std::chrono::seconds;

// The platform's rule: from this long after a leaf first named its rate, in any
// window of four seconds.
constexpr seconds kNoticeTime{5};
constexpr seconds kWindow{4};

double AllowedIn(double rate) {
  return 1.5 * rate * std::chrono::duration<double>(kWindow).count() + 5;
}

/// Daemons that relay requests to the service "s0" or to the shards "s0", "s1",
/// ..., whose leafs answer after a time.
class LimitedFleet {
 public:
  /// One daemon for each of `regions`.
  explicit LimitedFleet(const std::vector<std::string>& regions) {
    std::map<std::string, std::size_t> by_region;
    for (const std::string& region : regions) {
      ++by_region[region];
    }
    for (const std::string& region : regions) {
      auto daemon =
          std::make_unique<RelayFixture>(RetryAllowance{0.2, 56}, region);
      daemon->engine.SetDaemons(by_region);
      m_daemons.push_back(std::move(daemon));
    }
  }

  void AddLeaf(const std::string& service,
               const std::string& name,
               const std::string& domain = "d1") {
    for (const auto& daemon : m_daemons) {
      daemon->AddLeaf(service, name, domain);
    }
  }

  /// The leaf names this rate in its responses from now on.
  void NameRate(const std::string& leaf, double rate) {
    for (const auto& daemon : m_daemons) {
      daemon->named_rates[leaf] = rate;
    }
  }

  /// Sends requests to daemons at random, `per_second` together.
  void Run(Duration duration, double per_second, std::size_t shards = 0) {
    std::bernoulli_distribution arrives(per_second / 1000);
    std::uniform_int_distribution<std::size_t> choose(0, m_daemons.size() - 1);
    for (const TimePoint end = Now() + duration; Now() < end;) {
      if (arrives(m_random)) {
        m_daemons[choose(m_random)]->Submit(shards);
        ++m_requests;
      }
      for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        Step(index);
      }
    }
  }

  TimePoint Now() const { return m_daemons.front()->now; }
  const std::vector<TimePoint>& ArrivalsAt(const std::string& leaf) {
    return m_arrivals[leaf];
  }
  std::size_t Requests() const { return m_requests; }
  std::size_t Refused() const {
    std::size_t refused = 0;
    for (const auto& daemon : m_daemons) {
      for (const auto& [number, outcome] : daemon->outcomes) {
        refused += outcome.refusal ? 1 : 0;
      }
    }
    return refused;
  }
  RelayFixture& Daemon(std::size_t index) { return *m_daemons[index]; }

 private:
  struct Running {
    std::size_t daemon = 0;
    RelayAttempt attempt;
    TimePoint ends_at;
  };

  void Step(std::size_t index) {
    RelayFixture& daemon = *m_daemons[index];
    for (const RelayAttempt& send : std::exchange(daemon.sends, {})) {
      m_arrivals[send.leaf_id].push_back(daemon.now);
      // Some attempts take long enough to be hedged.
      const bool is_slow = m_random() % 20 == 0;
      m_running.push_back(
          {index, send, daemon.now + milliseconds(is_slow ? 120 : 9)});
    }
    daemon.Advance(milliseconds(1));
    for (const Running& running : std::exchange(m_running, {})) {
      if (running.daemon == index && running.ends_at <= daemon.now) {
        daemon.ReplyTo(running.attempt, LeafReplyKind::kSucceeded);
      } else {
        m_running.push_back(running);
      }
    }
  }

  std::vector<std::unique_ptr<RelayFixture>> m_daemons;
  std::vector<Running> m_running;
  std::map<std::string, std::vector<TimePoint>> m_arrivals;
  std::size_t m_requests = 0;
  std::minstd_rand m_random{24};
};

// Lets the leafs "a" and "b" name their rates, of which nothing is saved up
// then.
void UseUpRates(RelayFixture& relay) {
  for (const char* leaf : {"a", "b"}) {
    relay.Submit(0);
    relay.Submit(0);
    while (relay.IsSentTo(leaf)) {
      relay.Reply(leaf, LeafReplyKind::kSucceeded);
    }
  }
  relay.sends.clear();
}

}  // namespace

// A leaf that named 24 requests a second got 48: nobody read the rate.
TEST_CASE("a leaf that names a request rate gets no more than that") {
  constexpr double kRate = 24;
  LimitedFleet fleet({"r1", "r1", "r1", "r2", "r2", "r2", "r3", "r3"});
  fleet.AddLeaf("s0", "limited", "d1");
  fleet.AddLeaf("s0", "sibling", "d2");
  fleet.Run(seconds(2), 90);
  fleet.NameRate("limited", kRate);
  const TimePoint named = fleet.Now();
  fleet.Run(seconds(20), 90);
  CHECK(MostInWindow(fleet.ArrivalsAt("limited"), named + kNoticeTime,
                     kWindow) <= AllowedIn(kRate));
  CHECK(fleet.Refused() == 0);
}

TEST_CASE("daemons near leafs use most of the rates that these name") {
  constexpr double kRate = 24;
  LimitedFleet fleet({"r1", "r1", "r1", "r2"});
  for (const char* leaf : {"a", "b"}) {
    fleet.AddLeaf("s0", leaf, "d1");
    fleet.NameRate(leaf, kRate);
  }
  fleet.Run(seconds(1), 120);
  const TimePoint from = fleet.Now();
  fleet.Run(seconds(20), 120);
  for (const char* leaf : {"a", "b"}) {
    CAPTURE(leaf);
    CHECK(MostInWindow(fleet.ArrivalsAt(leaf), from + kNoticeTime, kWindow) <=
          AllowedIn(kRate));
    const auto used = std::count_if(
        fleet.ArrivalsAt(leaf).begin(), fleet.ArrivalsAt(leaf).end(),
        [&](TimePoint arrival) { return arrival >= from; });
    CHECK(static_cast<double>(used) >= 0.8 * kRate * 20);
  }
}

TEST_CASE("a single service whose leafs' rates are used up refuses at once") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.AddLeaf("s0", "b");
  relay.named_rates = {{"a", 10}, {"b", 20}};
  UseUpRates(relay);
  const RelayNumber number = relay.Submit(0);
  REQUIRE(relay.outcomes.contains(number));
  const auto& refusal = relay.Outcome(number).refusal;
  REQUIRE(refusal.has_value());
  CHECK(refusal->reason == RefusalReason::kLeafRateLimit);
  CHECK(refusal->verdict == Verdict::kNotRun);
  REQUIRE(refusal->retry_after.has_value());
  CHECK(*refusal->retry_after == milliseconds(50));
  relay.Advance(*refusal->retry_after);
  relay.Submit(0);
  CHECK(relay.IsSentTo("b"));
}

TEST_CASE("a fan-out leaves out a shard whose leafs' rates are used up") {
  constexpr std::size_t kShards = 8;
  RelayFixture relay;
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    relay.AddLeaf("s" + std::to_string(shard), "leaf" + std::to_string(shard));
  }
  relay.named_rates = {{"leaf3", 2}};
  const auto answer_all = [&relay] {
    while (!relay.sends.empty()) {
      relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kSucceeded);
    }
  };
  relay.Submit(kShards);
  answer_all();
  const RelayNumber number = relay.Submit(kShards);
  CHECK_FALSE(relay.IsSentTo("leaf3"));
  answer_all();
  REQUIRE(relay.outcomes.contains(number));
  CHECK_FALSE(relay.Outcome(number).refusal.has_value());
  CHECK(relay.Outcome(number).missing_shards == 1);
}

TEST_CASE("a fan-out that would cover too little is refused at once") {
  constexpr std::size_t kShards = 4;
  RelayFixture relay;
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    const std::string leaf = "leaf" + std::to_string(shard);
    relay.AddLeaf("s" + std::to_string(shard), leaf);
    relay.named_rates[leaf] = 5;
  }
  relay.Submit(kShards);
  while (!relay.sends.empty()) {
    relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kSucceeded);
  }
  const RelayNumber number = relay.Submit(kShards);
  CHECK(relay.sends.empty());
  REQUIRE(relay.outcomes.contains(number));
  CHECK(relay.Outcome(number).refusal->reason == RefusalReason::kLeafRateLimit);
  CHECK(relay.Outcome(number).refusal->retry_after == milliseconds(200));
}

TEST_CASE("hedges and retries count towards the rate that a leaf names") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.AddLeaf("s0", "b");
  relay.named_rates = {{"a", 4}, {"b", 4}};
  UseUpRates(relay);
  relay.Advance(milliseconds(250));
  relay.Submit(0);
  REQUIRE(relay.sends.size() == 1);
  const std::string first = relay.sends.front().leaf_id;
  SUBCASE("a hedge takes the other leaf's turn") {
    relay.Advance(milliseconds(100));
    REQUIRE(relay.sends.size() == 2);
  }
  SUBCASE("a retry takes the other leaf's turn") {
    relay.Reply(first, LeafReplyKind::kLost);
    REQUIRE(relay.sends.size() == 1);
  }
  const RelayNumber number = relay.Submit(0);
  REQUIRE(relay.outcomes.contains(number));
  CHECK(relay.Outcome(number).refusal->reason == RefusalReason::kLeafRateLimit);
}

TEST_CASE("a limit ends with the leaf's run that named it") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.named_rates = {{"a", 1}};
  relay.Submit(0);
  relay.Reply("a", LeafReplyKind::kSucceeded);
  CHECK(relay.Outcome(relay.Submit(0)).refusal.has_value());
  SUBCASE("the leaf starts again") {
    relay.leafs.front().started_at_ms = 7;
    relay.CollectActions(relay.engine.SetLeafs(relay.leafs, relay.now));
  }
  SUBCASE("the leaf no longer names it") {
    relay.named_rates.clear();
    relay.Advance(seconds(1));
    relay.Submit(0);
    relay.Reply("a", LeafReplyKind::kSucceeded);
  }
  relay.Submit(0);
  CHECK(relay.sends.size() == 1);
}

TEST_CASE(
    "shards of a far leaf are delegated though this daemon's part of its "
    "rate is used up") {
  constexpr std::size_t kShards = 4;
  RelayFixture relay;
  relay.engine.SetDaemons({{"r1", 2}, {"r2", 2}});
  relay.engine.SetPeers({{{"127.0.0.2", 1}, "r2", "d2"}});
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    const std::string leaf = "leaf" + std::to_string(shard);
    relay.AddLeaf("s" + std::to_string(shard), leaf, "d2");
    relay.named_rates[leaf] = 1;
  }
  // Without delegation, as by a daemon whose peers are lost.
  relay.engine.SetPeers({});
  relay.Submit(kShards);
  while (!relay.sends.empty()) {
    relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kSucceeded);
  }
  relay.engine.SetPeers({{{"127.0.0.2", 1}, "r2", "d2"}});
  const RelayNumber number = relay.Submit(kShards);
  CHECK_FALSE(relay.outcomes.contains(number));
  REQUIRE(relay.delegations.size() == 1);
  CHECK(relay.delegations.front().shards.size() == kShards);
}

TEST_CASE("a change of what a leaf announces is reported once") {
  RelayFixture relay;
  relay.AddLeaf("s0", "a");
  relay.named_rates = {{"a", 50}};
  const auto answer = [&relay] {
    relay.Advance(seconds(1));
    relay.Submit(0);
    relay.Reply("a", LeafReplyKind::kSucceeded);
    return relay.engine.TakeLeafNotices();
  };
  const auto named = answer();
  REQUIRE(named.size() == 1);
  CHECK(named.front().kind == LeafNoticeKind::kRateLimited);
  CHECK(named.front().request_rate == 50);
  CHECK(answer().empty());
  relay.named_rates.clear();
  const auto ended = answer();
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().kind == LeafNoticeKind::kRateLimitEnded);
}

}  // namespace bramleyspoke
