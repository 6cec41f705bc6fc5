#include "process/planned_stop.h"

#include <doctest/doctest.h>

namespace bramleyspoke {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{};
constexpr std::chrono::seconds kKeepServing{12};
constexpr std::chrono::seconds kAnswerAll{58};
constexpr std::chrono::seconds kBound{60};

PlannedStop MakeStop() {
  PlannedStop stop(PlannedStopOptions{kKeepServing, kAnswerAll, kBound});
  CHECK(stop.Update(3, kStart) == StopStep::kServing);
  stop.Begin(kStart);
  return stop;
}

}  // namespace

TEST_CASE("a planned stop keeps serving while callers may use its address") {
  PlannedStop stop = MakeStop();
  CHECK(stop.Update(0, kStart + kKeepServing - Duration(1)) ==
        StopStep::kLeaving);
  CHECK(stop.Update(0, kStart + kKeepServing) == StopStep::kFinishing);
  CHECK(stop.Update(0, kStart + kKeepServing) == StopStep::kDone);
  CHECK_FALSE(stop.HasInterruptedRequests());
}

TEST_CASE("a planned stop waits for requests in flight, up to its bound") {
  PlannedStop stop = MakeStop();
  CHECK(stop.Update(1, kStart + kKeepServing) == StopStep::kFinishing);
  CHECK(stop.Update(1, kStart + kAnswerAll - Duration(1)) ==
        StopStep::kFinishing);
  CHECK(stop.Schedule().accept_until == kStart + kKeepServing);
  CHECK(stop.Schedule().answer_all_by == kStart + kAnswerAll);
  CHECK(stop.Update(1, kStart + kAnswerAll) == StopStep::kSending);
  CHECK(stop.Update(1, kStart + kBound - Duration(1)) == StopStep::kSending);

  SUBCASE("the last request ends in time") {
    CHECK(stop.Update(0, kStart + kBound - Duration(1)) == StopStep::kDone);
    CHECK_FALSE(stop.HasInterruptedRequests());
  }
  SUBCASE("a request is still in flight at the bound") {
    CHECK(stop.Update(1, kStart + kBound) == StopStep::kDone);
    CHECK(stop.HasInterruptedRequests());
  }
}

// Guards against accepting requests for whose work there is no time left.
TEST_CASE("a planned stop leaves accepted requests nearly half of its time") {
  for (const Duration grace : {Duration(1s), Duration(6s), Duration(30s)}) {
    const auto options = PlannedStopOptions::Within(grace);
    CHECK(options.keep_serving <= grace / 2);
    CHECK(options.answer_all - options.keep_serving >= grace * 0.4);
    CHECK(options.answer_all < options.bound);
    CHECK(options.bound < grace);
  }
}

TEST_CASE("a planned stop accepts requests until it is to finish") {
  PlannedStop stop = MakeStop();
  CHECK(stop.AcceptsRequests());
  stop.Update(1, kStart + kKeepServing);
  CHECK_FALSE(stop.AcceptsRequests());
}

// A daemon that was frozen still answers what it holds.
TEST_CASE("a planned stop that is resumed after its bound skips no step") {
  PlannedStop stop = MakeStop();
  const TimePoint late = kStart + 2 * kBound;
  CHECK(stop.Update(1, late) == StopStep::kFinishing);
  CHECK(stop.Update(1, late) == StopStep::kSending);
  CHECK(stop.Update(1, late) == StopStep::kDone);
}

TEST_CASE("a second stop request does not restart the stop") {
  PlannedStop stop = MakeStop();
  CHECK(stop.Update(0, kStart + kKeepServing) == StopStep::kFinishing);
  stop.Begin(kStart + kKeepServing);
  CHECK(stop.Step() == StopStep::kFinishing);
}

}  // namespace bramleyspoke
