#include <doctest/doctest.h>

#include <csignal>
#include <string>
#include <thread>

#include "crashing_fleet.h"

namespace bramleyspoke {
namespace {}  // namespace

TEST_CASE("a request that crashes leafs is refused by daemons that restarted") {
  CrashingFleet fleet;
  fleet.SendUntilRefused();
  for (std::size_t relay = 0; relay < 3; ++relay) {
    fleet.Relay(relay).Restart();
  }
  fleet.WaitForDaemons();
  for (std::size_t relay = 0; relay < 3; ++relay) {
    CHECK_MESSAGE(fleet.Send(relay) == 0, fleet.Relay(relay).Log());
    CHECK(fleet.LastAnswer().status == 503);
  }
}

TEST_CASE(
    "a request that crashes leafs is refused by a daemon that restarted while "
    "the store does not answer") {
  CrashingFleet fleet;
  fleet.SendUntilRefused();
  fleet.LoseStore();
  fleet.Relay(2).Restart();
  fleet.WaitForDaemons();
  CHECK_MESSAGE(fleet.Send(2) == 0, fleet.Relay(2).Log());
  CHECK(fleet.LastAnswer().status == 503);
}

TEST_CASE(
    "a request that crashes leafs is refused by a daemon that was paused "
    "meanwhile") {
  CrashingFleet fleet;
  fleet.Relay(2).Signal(SIGSTOP);
  fleet.SendUntilRefused();
  fleet.Relay(2).Signal(SIGCONT);
  std::this_thread::sleep_for(std::chrono::seconds(5));
  CHECK_MESSAGE(fleet.Send(2) == 0, fleet.Relay(2).Log());
  CHECK(fleet.LastAnswer().status == 503);
}

TEST_CASE("a daemon far from the leafs delegates the shards of a fan-out") {
  CrashingFleet fleet;
  CHECK(fleet.Relay(2).Send("plain", "/sweep/all").status == 200);
  CHECK(fleet.Relay(2).Metrics().find(R"(what="delegations"} 1)") !=
        std::string::npos);
}

}  // namespace bramleyspoke
