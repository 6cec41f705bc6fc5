#include "request/fan_out_admission.h"

#include <doctest/doctest.h>

#include "relay_fixture.h"

namespace bramleyspoke {

TEST_CASE("a fan-out is let in while enough shards can answer in time") {
  FanOutAdmission admission;
  for (const int latency : {20, 30, 40, 400}) {
    admission.Add(milliseconds(latency));
  }
  CHECK_FALSE(admission.RetryAfter(3, milliseconds(100)));
  SUBCASE("otherwise it may return when enough queues have shrunk") {
    const auto retry_after = admission.RetryAfter(4, milliseconds(100));
    REQUIRE(retry_after.has_value());
    CHECK(*retry_after == milliseconds(300));
  }
  SUBCASE("not at once") {
    const auto retry_after = admission.RetryAfter(3, milliseconds(35));
    REQUIRE(retry_after.has_value());
    CHECK(*retry_after == FanOutAdmission::kMinRetryAfter);
  }
  SUBCASE("shards without a leaf are for another refusal") {
    CHECK_FALSE(admission.RetryAfter(5, milliseconds(100)));
  }
}

// It was sent to all shards, which closed a connection to each of them.
TEST_CASE("a fan-out that arrives just before its deadline is refused") {
  RelayFixture relay;
  for (std::size_t shard = 0; shard < 4; ++shard) {
    relay.AddLeaf("s" + std::to_string(shard), "a" + std::to_string(shard));
  }
  relay.time_left = milliseconds(5);
  const RelayNumber number = relay.Submit(4);
  CHECK(relay.sends.empty());
  REQUIRE(relay.outcomes.contains(number));
  REQUIRE(relay.Outcome(number).refusal.has_value());
  CHECK(relay.Outcome(number).refusal->verdict == Verdict::kNotRun);
}

}  // namespace bramleyspoke
