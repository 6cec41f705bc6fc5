#include <doctest/doctest.h>

#include <csignal>

#include "child_process.h"
#include "process_run.h"

namespace bramleyspoke {

TEST_CASE("a killed daemon breaks no promise, and its successor serves") {
  ProcessRun run;
  run.StartLoad();
  REQUIRE(run.WaitForFullAnswers(50));
  run.GetFleet().Kill(1);
  REQUIRE(run.WaitForMembers(0, 2));
  REQUIRE(run.WaitForFullAnswers(50));
  run.GetFleet().StartDaemon(1);
  REQUIRE(run.GetFleet().WaitReady(1));
  REQUIRE(run.WaitForMembers(0, 3));
  REQUIRE(run.WaitForFullAnswers(50));
  CHECK(run.Check() == "");
}

TEST_CASE("a daemon frozen until the others gave it up breaks no promise") {
  ProcessRun run;
  run.StartLoad();
  REQUIRE(run.WaitForFullAnswers(50));
  run.GetFleet().Signal(1, SIGSTOP);
  REQUIRE(run.WaitForMembers(0, 2));
  const PublishEvent publish = run.Publish(run.BaseManifest());
  REQUIRE(publish.end == PublishEnd::kAccepted);
  REQUIRE(run.WaitForFullAnswers(50));
  run.GetFleet().Signal(1, SIGCONT);
  REQUIRE(run.WaitForMembers(0, 3));
  REQUIRE(run.WaitForGeneration(publish.generation));
  REQUIRE(run.WaitForFullAnswers(50));
  CHECK(run.Check() == "");
}

TEST_CASE("a planned stop under load cuts off no request") {
  ProcessRun run;
  run.StartLoad(40, 0);
  REQUIRE(run.WaitForFullAnswers(50));
  run.GetHistory().stops.push_back(run.GetFleet().Stop(0));
  REQUIRE(run.WaitForFullAnswers(50));
  CHECK(run.Check() == "");
}

TEST_CASE("a daemon killed while another stops and a leaf is lost") {
  ProcessRun run(4);
  run.StartLoad();
  REQUIRE(run.WaitForFullAnswers(50));
  run.GetFleet().LeafFault(run.Leaf("search", 1, 0), "crash", "0");
  run.GetFleet().Kill(1);
  run.GetHistory().stops.push_back(run.GetFleet().Stop(2));
  run.GetFleet().StartDaemon(1);
  REQUIRE(run.GetFleet().WaitReady(1));
  REQUIRE(run.WaitForFullAnswers(50));
  CHECK(run.Check() == "");
}

}  // namespace bramleyspoke
