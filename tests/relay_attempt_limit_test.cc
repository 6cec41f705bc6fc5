#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <utility>
#include <vector>

#include "retry_fleet.h"

namespace bramleyspoke {

using std::chrono::milliseconds;

namespace {

// Wide enough that attempts are limited by the route only.
const RetryAllowance kAmpleAllowance{2, 100000};

rc::Gen<int> InRange(int from, int below) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, below));
}

rc::Gen<RetryPhase> ArbitraryPhase() {
  return rc::gen::map(
      rc::gen::tuple(InRange(200, 2000), InRange(5, 60), InRange(0, 30),
                     InRange(0, 70), InRange(0, 20), InRange(0, 20),
                     InRange(0, 20), InRange(0, 30), InRange(0, 9),
                     InRange(0, 12), InRange(0, 6)),
      [](const auto& drawn) {
        const auto& [length, rate, rejected, failed, lost, unsent, unanswered,
                     lost_answers, cut, restarted, adds] = drawn;
        RetryPhase phase;
        phase.length = milliseconds(length);
        phase.per_second = rate;
        phase.rejected = rejected;
        phase.failed = failed;
        phase.lost = lost;
        phase.unsent = unsent;
        phase.unanswered = unanswered;
        phase.lost_answers = lost_answers;
        if (cut < static_cast<int>(RetryFleet::kDaemons)) {
          phase.cut_off = static_cast<std::size_t>(cut);
        }
        if (restarted < static_cast<int>(RetryFleet::kDaemons)) {
          phase.restarted = static_cast<std::size_t>(restarted);
        }
        phase.adds_leafs = adds == 0;
        return phase;
      });
}

rc::Gen<RetryFleetOptions> ArbitraryOptions() {
  return rc::gen::map(
      rc::gen::pair(InRange(2, 7), InRange(1, 5)),
      [](const std::pair<int, int>& drawn) {
        RetryFleetOptions options;
        options.leafs_per_service = static_cast<std::size_t>(drawn.first);
        options.max_attempts = static_cast<std::uint32_t>(drawn.second);
        return options;
      });
}

RetryFleet RunArbitraryPhases(const RetryFleetOptions& options) {
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  const auto phases = *rc::gen::container<std::vector<RetryPhase>>(
      static_cast<std::size_t>(*InRange(1, 5)), ArbitraryPhase());
  RetryFleet fleet(kAmpleAllowance, seed, options);
  for (const RetryPhase& phase : phases) {
    fleet.Run(phase);
  }
  return fleet;
}

}  // namespace

// A daemon sent a part again that a peer had sent to all leafs that the route
// allows, as the way over a timer did not ask how often it had run.
TEST_CASE("half of the attempts fail and no request runs on too many leafs") {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    RetryPhase phase;
    phase.length = std::chrono::seconds(4);
    phase.per_second = 40;
    phase.failed = 50;
    RetryFleet fleet(kAmpleAllowance, seed, {3, 2});
    fleet.Run(phase);
    CHECK(fleet.Delegations() > 0);
    CHECK(fleet.MostLeafs() == 2);
    CHECK(fleet.RequestsOnTooManyLeafs() == 0);
  }
}

TEST_CASE("no request runs on more leafs of a shard than its route allows") {
  CHECK(rc::check([] {
    const RetryFleetOptions options = *ArbitraryOptions();
    const RetryFleet fleet = RunArbitraryPhases(options);
    RC_LOG() << options.leafs_per_service << " leafs a service, "
             << options.max_attempts << " attempts allowed, "
             << fleet.MostLeafs() << " leafs reached" << std::endl;
    RC_ASSERT(fleet.RequestsOnTooManyLeafs() == 0U);
  }));
}

// A peer's report that the request may have run did not end it.
TEST_CASE("a non-idempotent request that is handed over runs at most once") {
  CHECK(rc::check([] {
    RetryFleetOptions options = *ArbitraryOptions();
    options.has_non_idempotent = true;
    const RetryFleet fleet = RunArbitraryPhases(options);
    RC_ASSERT(fleet.RequestsRunTwice() == 0U);
  }));
}

}  // namespace bramleyspoke
