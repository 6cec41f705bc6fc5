#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "fleet_network.h"
#include "relay_platform.h"
#include "relay_process.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kEventTimeout{30};
constexpr milliseconds kStopBound{3000};

// Routes to one service whose requests may take longer than a planned stop.
std::string PatientRoutes() {
  std::string routes = SingleServiceRoutes(3, "/");
  const std::string timeout = R"("timeout_ms":2000)";
  return routes.replace(routes.find(timeout), timeout.size(),
                        R"("timeout_ms":20000)");
}

/// One daemon and one leaf.
struct StoppedRelay {
  StoppedRelay() {
    store.Put("op/config", PatientRoutes());
    store.Put("servers/leaf", leaf.Entry("s"));
    relay =
        std::make_unique<RelayProcess>(network->Caller(0).host, store.Address(),
                                       "", DaemonLocation(), kStopBound);
    REQUIRE(WaitUntil([&] { return relay->Serves(); }, kEventTimeout));
  }
  ~StoppedRelay() {
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  /// Sends requests at once; `statuses` gets 0 for each without an answer.
  void Send(std::size_t count) {
    for (std::size_t sent = 0; sent < count; ++sent) {
      int& status = statuses.emplace_back(0);
      callers.emplace_back(
          [this, &status] { status = relay->Send("request").status; });
    }
  }
  void WaitForCallers() {
    for (std::thread& caller : callers) {
      caller.join();
    }
    callers.clear();
  }
  std::ptrdiff_t Count(int status) const {
    return std::count(statuses.begin(), statuses.end(), status);
  }

  std::unique_ptr<Harness::FleetNetwork> network =
      Harness::FleetNetwork::Create().value();
  FakePlatformStore store;
  FakePlatformLeaf leaf{"leaf"};
  std::unique_ptr<RelayProcess> relay;
  std::vector<std::thread> callers;
  /// By request; a reference to one holds while more are sent.
  std::deque<int> statuses;
};

}  // namespace

// Guards against closing what waits in a daemon unanswered at its planned stop.
TEST_CASE("a stopped relay answers the requests that no leaf has run") {
  constexpr std::size_t kRequests = 80;
  StoppedRelay stopped;
  stopped.leaf.LimitSlots(0);
  stopped.Send(kRequests);
  REQUIRE(WaitUntil([&] { return stopped.leaf.Arrivals().size() > kRequests; },
                    kEventTimeout));
  stopped.relay->Signal(SIGTERM);
  stopped.WaitForCallers();
  CHECK_MESSAGE(stopped.Count(503) == kRequests, stopped.relay->Log());
  CHECK(stopped.relay->WaitForEnd(kStopBound));
}

// Guards against cutting off requests that were accepted late in a stop.
TEST_CASE("a stopped relay accepts nothing for which it has no time") {
  constexpr milliseconds kLongWork{2 * kStopBound};
  StoppedRelay stopped;
  stopped.leaf.WorkFor(kLongWork);
  const std::size_t arrivals_before = stopped.leaf.Arrivals().size();
  stopped.relay->Signal(SIGTERM);
  const TimePoint signalled = std::chrono::steady_clock::now();
  std::this_thread::sleep_until(signalled + kStopBound * 52 / 100);
  stopped.Send(1);
  stopped.WaitForCallers();
  CHECK(stopped.leaf.Arrivals().size() == arrivals_before);
  CHECK(stopped.relay->WaitForEnd(kStopBound));
}

TEST_CASE("a stopped relay answers what a leaf still works on at the end") {
  constexpr milliseconds kLongWork{2 * kStopBound};
  StoppedRelay stopped;
  stopped.leaf.WorkFor(kLongWork);
  const std::size_t arrivals_before = stopped.leaf.Arrivals().size();
  stopped.Send(3);
  REQUIRE(WaitUntil(
      [&] { return stopped.leaf.Arrivals().size() == arrivals_before + 3; },
      kEventTimeout));
  stopped.relay->Signal(SIGTERM);
  stopped.WaitForCallers();
  CHECK_MESSAGE(stopped.Count(502) == 3, stopped.relay->Log());
  CHECK(stopped.relay->WaitForEnd(kStopBound));
}

}  // namespace bramleyspoke
