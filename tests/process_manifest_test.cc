#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

#include "child_process.h"
#include "process_run.h"

namespace bramleyspoke {

TEST_CASE("with the store down, queries are answered and daemons start") {
  ProcessRun run;
  run.StartLoad();
  REQUIRE(run.WaitForFullAnswers(50));
  run.GetFleet().InjectStoreFault(R"({"mode":"down"})");
  CHECK(run.Publish(run.BaseManifest()).end != PublishEnd::kAccepted);
  run.GetFleet().Kill(2);
  run.GetFleet().StartDaemon(2);
  REQUIRE(run.GetFleet().WaitReady(2));
  REQUIRE(run.WaitForFullAnswers(100));
  run.GetFleet().InjectStoreFault(R"({"mode":"none"})");
  const PublishEvent publish = run.Publish(run.BaseManifest());
  REQUIRE(publish.end == PublishEnd::kAccepted);
  REQUIRE(run.WaitForGeneration(publish.generation));
  CHECK(run.Check() == "");
}

TEST_CASE("a publish reports its true outcome") {
  struct Row {
    const char* name;
    const char* fault;
  };
  const Row rows[] = {
      {"answers lost once", R"({"mode":"lose_answers","count":1})"},
      {"answers lost", R"({"mode":"lose_answers","count":12})"},
      {"slow", R"({"mode":"slow","delay_ms":700})"},
      {"slower than the call timeout", R"({"mode":"slow","delay_ms":1500})"},
      {"unavailable", R"({"mode":"unavailable","count":3})"},
      {"garbage", R"({"mode":"garbage","count":3})"},
  };
  ProcessRun run;
  run.StartLoad(10);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    run.GetFleet().InjectStoreFault(row.fault);
    const PublishEvent publish = run.Publish(run.BaseManifest());
    if (publish.end == PublishEnd::kAccepted) {
      CHECK(run.WaitForGeneration(publish.generation));
    }
    run.GetFleet().InjectStoreFault(R"({"mode":"none"})");
  }
  const PublishEvent last = run.Publish(run.BaseManifest());
  REQUIRE(last.end == PublishEnd::kAccepted);
  REQUIRE(run.WaitForGeneration(last.generation));
  CHECK(run.Check() == "");
}

TEST_CASE(
    "a publish reports its true outcome whichever store call is unanswered") {
  // Duration of each call to the store; the loss of responses begins in the
  // middle of a different call each time.
  constexpr std::chrono::milliseconds kCallTime{200};
  constexpr int kLastCall = 6;
  ProcessRun run;
  std::size_t unknown = 0;
  for (int call = 0; call < kLastCall; ++call) {
    run.GetFleet().InjectStoreFault(R"({"mode":"slow","delay_ms":200})");
    std::thread fault_injector([&] {
      std::this_thread::sleep_for(kCallTime * call + kCallTime / 2);
      run.GetFleet().InjectStoreFault(R"({"mode":"lose_answers"})");
    });
    const PublishEvent publish = run.Publish(run.BaseManifest());
    unknown += publish.end == PublishEnd::kUnknown ? 1 : 0;
    fault_injector.join();
    run.GetFleet().InjectStoreFault(R"({"mode":"none"})");
  }
  CHECK(unknown > 0);
  CHECK(run.Check() == "");
}

TEST_CASE("of several concurrent publishes exactly one is accepted") {
  constexpr int kRounds = 10;
  constexpr std::size_t kOperators = 4;
  ProcessRun run;
  std::uint64_t generation = 1;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<PublishEvent> ends(kOperators);
    std::vector<std::thread> operators;
    for (PublishEvent& end : ends) {
      operators.emplace_back([&] {
        end = run.GetFleet().Publish(run.BaseManifest(), generation);
      });
    }
    for (std::thread& thread : operators) {
      thread.join();
    }
    const auto accepted =
        std::count_if(ends.begin(), ends.end(), [](const PublishEvent& end) {
          return end.end == PublishEnd::kAccepted;
        });
    CHECK(accepted == 1);
    auto& publishes = run.GetHistory().publishes;
    publishes.insert(publishes.end(), ends.begin(), ends.end());
    ++generation;
  }
  REQUIRE(run.WaitForGeneration(generation));
  CHECK(run.Check() == "");
}

TEST_CASE("a slow store does not delay a manifest beyond the bound") {
  ProcessRun run;
  run.GetFleet().InjectStoreFault(R"({"mode":"slow","delay_ms":500})");
  for (int i = 0; i < 3; ++i) {
    const PublishEvent publish = run.Publish(run.BaseManifest());
    REQUIRE(publish.end == PublishEnd::kAccepted);
    REQUIRE(run.WaitForGeneration(publish.generation));
  }
  CHECK(run.Check() == "");
}

}  // namespace bramleyspoke
