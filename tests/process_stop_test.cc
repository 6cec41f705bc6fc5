#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <string>
#include <thread>

#include "fleet.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kEventTimeout{30};
constexpr milliseconds kKeepServing{200};
constexpr milliseconds kStopBound{1200};

constexpr const char* kSearch =
    R"({"service":"search","caller":"c","query":"x","deadline_ms":20000})";

std::unique_ptr<Harness::Fleet> StartFleet() {
  const char* programs = std::getenv("BRAMLEYSPOKE_BIN");
  REQUIRE(programs != nullptr);
  Harness::FleetOptions options;
  options.programs = programs;
  options.daemons = 1;
  options.deployment = Harness::MakeSmallDeployment();
  options.keep_serving = kKeepServing;
  options.stop_bound = kStopBound;
  auto fleet = Harness::Fleet::Start(std::move(options));
  REQUIRE(fleet);
  (*fleet)->StartAllDaemons();
  REQUIRE((*fleet)->WaitAllReady());
  return std::move(*fleet);
}

}  // namespace

// Guards against closing requests in flight unanswered at a planned stop's end.
TEST_CASE("a daemon that stops answers what leafs still work on at the end") {
  const auto fleet = StartFleet();
  const Endpoint daemon = fleet->CallerAddress(0);
  const auto search = [&] {
    return Harness::Call(daemon, "POST", "/v1/search", kSearch, kEventTimeout);
  };
  REQUIRE(WaitUntil([&] { return search().status == 200; }, kEventTimeout));
  fleet->InjectLeafFault("*", "freeze", "0");
  HttpResponse answer;
  std::thread caller([&] { answer = search(); });
  const bool is_in_flight = WaitUntil(
      [&] {
        return Harness::Call(daemon, "GET", "/v1/status")
                   .body.find(R"("in_flight":1)") != std::string::npos;
      },
      kEventTimeout);
  fleet->Signal(0, SIGTERM);
  caller.join();
  CHECK(is_in_flight);
  CHECK(answer.status != 0);
  CHECK(answer.body.find("shutting_down") != std::string::npos);
  CHECK(answer.body.find("may_have_run") != std::string::npos);
}

}  // namespace bramleyspoke
