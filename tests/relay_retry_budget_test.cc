#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

#include "retry_fleet.h"

namespace bramleyspoke {

using std::chrono::milliseconds;

namespace {

const RetryAllowance kAllowance{0.2, 12};

/// Over the whole range, whatever the size of the test case.
rc::Gen<int> InRange(int from, int below) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, below));
}

/// Load and faults, without restarts.
rc::Gen<RetryPhase> ArbitraryPhase() {
  return rc::gen::map(
      rc::gen::tuple(InRange(200, 2500), InRange(5, 150), InRange(0, 50),
                     InRange(0, 25), InRange(0, 15), InRange(0, 10),
                     InRange(0, 9)),
      [](const auto& drawn) {
        const auto& [length, rate, rejected, failed, lost, unsent, cut] = drawn;
        RetryPhase phase;
        phase.length = milliseconds(length);
        phase.per_second = rate;
        phase.rejected = rejected;
        phase.failed = failed;
        phase.lost = lost;
        phase.unsent = unsent;
        if (cut < static_cast<int>(RetryFleet::kDaemons)) {
          phase.cut_off = static_cast<std::size_t>(cut);
        }
        return phase;
      });
}

void CheckRule(std::uint32_t seed, const std::vector<RetryPhase>& phases) {
  RetryFleet fleet(kAllowance, seed);
  for (const RetryPhase& phase : phases) {
    fleet.Run(phase);
  }
  const RetryExcess most = fleet.MostExcess();
  RC_LOG() << most.service << ": " << most.extra << " beyond the first of "
           << most.requests << " requests" << std::endl;
  RC_ASSERT(most.above <= 0);
}

}  // namespace

TEST_CASE("daemons that delegate and hand over keep to the retry budget") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto phases = *rc::gen::container<std::vector<RetryPhase>>(
        static_cast<std::size_t>(*InRange(1, 7)), ArbitraryPhase());
    CheckRule(seed, phases);
  }));
}

TEST_CASE("the retry budget holds over a restart of every daemon") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    std::vector<RetryPhase> phases{*ArbitraryPhase()};
    for (std::size_t daemon = 0; daemon < RetryFleet::kDaemons; ++daemon) {
      phases.push_back(*ArbitraryPhase());
      phases.back().restarted = daemon;
    }
    CheckRule(seed, phases);
  }));
}

TEST_CASE("half of the attempts of every shard are rejected") {
  RetryPhase phase;
  phase.length = std::chrono::seconds(10);
  phase.per_second = 60;
  phase.rejected = 50;
  RetryFleet fleet(kAllowance, 1);
  fleet.Run(phase);
  const RetryExcess most = fleet.MostExcess();
  CAPTURE(most.service);
  CAPTURE(most.extra);
  CAPTURE(most.requests);
  CHECK(most.above <= 0);
  CHECK(fleet.Delegations() > 0);
  // The budget is used.
  CHECK(most.extra > 0.1 * double(most.requests));
}

}  // namespace bramleyspoke
