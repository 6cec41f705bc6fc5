#include <doctest/doctest.h>

#include <csignal>

#include "child_process.h"
#include "process_run.h"

namespace bramleyspoke {

TEST_CASE(
    "no guarantee is violated when a daemon is killed while another stops and "
    "a leaf crashes") {
  ProcessRun run(4);
  run.StartLoad();
  REQUIRE(run.WaitForFullAnswers(50));
  run.GetFleet().InjectLeafFault(run.Leaf("search", 1, 0), "crash", "0");
  const std::size_t stopped = run.Holder("restore");
  const std::size_t killed = (stopped + 1) % 4;
  run.GetFleet().Kill(killed);
  run.GetHistory().stops.push_back(run.GetFleet().Stop(stopped));
  run.GetFleet().StartDaemon(killed);
  REQUIRE(run.GetFleet().WaitReady(killed));
  REQUIRE(run.WaitForFullAnswers(50));
  CHECK(run.Check() == "");
}

}  // namespace bramleyspoke
