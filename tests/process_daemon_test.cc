#include <doctest/doctest.h>

#include <csignal>

#include "child_process.h"
#include "process_run.h"

namespace bramleyspoke {

TEST_CASE("killing a daemon violates no guarantee, and its successor serves") {
  ProcessRun run;
  run.StartLoad();
  REQUIRE(run.WaitForFullAnswers(50));
  const std::size_t holder = run.Holder("restore");
  const std::size_t other = (holder + 1) % 3;
  run.GetFleet().Kill(holder);
  REQUIRE(run.WaitForMembers(other, 2));
  REQUIRE(run.WaitForFullAnswers(50));
  run.GetFleet().StartDaemon(holder);
  REQUIRE(run.GetFleet().WaitReady(holder));
  REQUIRE(run.WaitForMembers(other, 3));
  REQUIRE(run.WaitForFullAnswers(50));
  CHECK(run.Check() == "");
}

TEST_CASE(
    "a daemon paused until the others consider it dead violates no guarantee") {
  ProcessRun run;
  run.StartLoad();
  REQUIRE(run.WaitForFullAnswers(50));
  const std::size_t holder = run.Holder("restore");
  const std::size_t other = (holder + 1) % 3;
  run.GetFleet().Signal(holder, SIGSTOP);
  REQUIRE(run.WaitForMembers(other, 2));
  const PublishEvent publish = run.Publish(run.BaseManifest());
  REQUIRE(publish.end == PublishEnd::kAccepted);
  REQUIRE(run.WaitForFullAnswers(50));
  run.GetFleet().Signal(holder, SIGCONT);
  REQUIRE(run.WaitForMembers(other, 3));
  REQUIRE(run.WaitForGeneration(publish.generation));
  REQUIRE(run.WaitForFullAnswers(50));
  CHECK(run.Check() == "");
}

TEST_CASE("a planned stop under load cuts off no request") {
  ProcessRun run;
  run.StartLoad(40, 0);
  REQUIRE(run.WaitForFullAnswers(50));
  const std::size_t holder = run.Holder("restore");
  run.GetHistory().stops.push_back(run.GetFleet().Stop(holder));
  REQUIRE(run.WaitForFullAnswers(50));
  CHECK(run.Check() == "");
}

}  // namespace bramleyspoke
