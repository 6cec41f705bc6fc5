#include <doctest/doctest.h>

#include <csignal>

#include "child_process.h"
#include "process_run.h"

namespace bramleyspoke {
namespace {

// Restarts a daemon while the store and the other daemons are unreachable, so
// that it cannot get the manifest.
void IsolateAndRestart(ProcessRun& run, std::size_t daemon) {
  run.GetFleet().InjectStoreFault(R"({"mode":"down"})");
  for (const std::size_t other : {0, 1}) {
    run.GetFleet().Signal(other, SIGSTOP);
  }
  run.GetFleet().Kill(daemon);
  run.GetFleet().StartDaemon(daemon);
  REQUIRE(Harness::WaitUntil(
      [&] {
        return Harness::Call(run.GetFleet().CallerAddress(daemon), "GET",
                             "/health")
                   .status == 200;
      },
      std::chrono::seconds(20)));
}

void WithdrawService(ProcessRun& run) {
  Manifest manifest = run.BaseManifest();
  manifest.services.pop_back();
  const PublishEvent publish = run.Publish(manifest);
  REQUIRE(publish.end == PublishEnd::kAccepted);
  REQUIRE(run.WaitForGeneration(publish.generation));
}

}  // namespace

TEST_CASE("a request that ran is never refused as not run when sent again") {
  ProcessRun run;
  const std::string id = run.RequestIdPrefix(0, "restore") + "job-1";
  const CallerEvent first = run.Send(0, "restore", id, "job-1;");
  REQUIRE(first.end == CallerEnd::kAnswered);

  std::size_t daemon = 0;
  SUBCASE("to the daemon that ran it") {}
  SUBCASE("to another daemon") {
    daemon = 1;
  }
  SUBCASE("to the issuer, after the service was withdrawn") {
    WithdrawService(run);
  }
  SUBCASE("to another daemon, after the service was withdrawn") {
    WithdrawService(run);
    daemon = 1;
  }
  SUBCASE("to a daemon that is not ready") {
    daemon = 2;
    IsolateAndRestart(run, daemon);
  }
  const CallerEvent second = run.Send(daemon, "restore", id, "job-1;");
  CHECK(second.verdict != Verdict::kNotRun);
  CAPTURE(second.reason);
  for (const std::size_t other : {0, 1}) {
    run.GetFleet().Signal(other, SIGCONT);
  }
  CHECK(run.Check() == "");
}

}  // namespace bramleyspoke
