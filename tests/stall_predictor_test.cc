#include "request/stall_predictor.h"

#include <doctest/doctest.h>

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;

const TimePoint kBegin{std::chrono::hours(1)};

/// Records `count` stalls of 250 ms, 6 s apart; the first ends `first` ms after
/// kBegin.
void RecordStalls(StallPredictor& leaf,
                  StallPeriod& period,
                  int first,
                  int count) {
  for (int i = 0; i < count; ++i) {
    const TimePoint end = kBegin + milliseconds(first + 6000 * i);
    leaf.OnStall(end - milliseconds(250), end, period);
  }
}

}  // namespace

TEST_CASE("the next stall is predicted from the intervals of several leafs") {
  StallPeriod period;
  StallPredictor leafs[5];
  for (int i = 0; i < 5; ++i) {
    RecordStalls(leafs[i], period, 100 * i, i == 4 ? 1 : 2);
  }
  REQUIRE(period.Estimate() == milliseconds(6000));

  SUBCASE("a leaf that stalled once is predicted to stall again") {
    const TimePoint next = kBegin + milliseconds(400 + 6000);
    CHECK(leafs[4].PredictedDelay(next - milliseconds(100), next, period) ==
          milliseconds(100));
  }
  SUBCASE("a request that ends before a stall is not delayed") {
    const TimePoint next = kBegin + milliseconds(6000 + 6000);
    CHECK(leafs[0].PredictedDelay(next - milliseconds(300),
                                  next - milliseconds(260),
                                  period) == Duration::zero());
  }
  SUBCASE("a request that runs into a stall is delayed for all of it") {
    const TimePoint next = kBegin + milliseconds(6000 + 6000);
    CHECK(leafs[0].PredictedDelay(next - milliseconds(260),
                                  next - milliseconds(240),
                                  period) == milliseconds(250));
  }
  SUBCASE("a prompt response during a predicted stall refutes the prediction") {
    const TimePoint next = kBegin + milliseconds(6000 + 6000);
    leafs[0].OnPromptResponse(next - milliseconds(200),
                              next - milliseconds(100), period);
    CHECK(leafs[0].PredictedDelay(next - milliseconds(100), next, period) ==
          Duration::zero());
  }
  SUBCASE(
      "a slow request outside a predicted stall does not change the "
      "prediction") {
    const TimePoint off = kBegin + milliseconds(6000 + 3000);
    leafs[0].OnStall(off - milliseconds(100), off, period);
    const TimePoint next = kBegin + milliseconds(6000 + 6000);
    CHECK(leafs[0].PredictedDelay(next - milliseconds(100), next, period) ==
          milliseconds(100));
  }
}

TEST_CASE("stalls at irregular intervals give no prediction") {
  StallPeriod period;
  StallPredictor leaf;
  for (const int end : {0, 3100, 9000, 10500, 18000, 23700}) {
    const TimePoint at = kBegin + milliseconds(end);
    leaf.OnStall(at - milliseconds(200), at, period);
  }
  CHECK_FALSE(period.Estimate());
  CHECK(leaf.PredictedDelay(kBegin, kBegin + std::chrono::hours(1), period) ==
        Duration::zero());
}

}  // namespace bramleyspoke
