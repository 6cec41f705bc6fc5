#include <doctest/doctest.h>

#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "proxied_fleet.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' bounds: a daemon has to follow the rules again this long after a
// disturbance, and to serve by a version this long after it was acknowledged.
constexpr seconds kStableWindow{4};
constexpr seconds kApplyBound{3};
// Requests for a route from the bound on, and their interval.
constexpr int kProbes = 20;
constexpr milliseconds kProbeInterval{50};

const std::string kAdded = "/added/";

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

void SignalAll(ProxiedFleet& fleet, int signal) {
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.Relay(i).Signal(signal);
  }
}

// Number of requests for the added route that each daemon does not serve from
// `since` on.
std::vector<int> CountUnserved(const ProxiedFleet& fleet, TimePoint since) {
  std::this_thread::sleep_until(since);
  std::vector<int> unserved(fleet.Size());
  for (int probe = 0; probe < kProbes; ++probe) {
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      unserved[i] += fleet.Status(i, kAdded) == 200 ? 0 : 1;
    }
    std::this_thread::sleep_for(kProbeInterval);
  }
  return unserved;
}

}  // namespace

TEST_CASE(
    "a new version is in force in time although connections to the store have "
    "gone silent") {
  SilenceKind silence = SilenceKind::kAcknowledged;
  std::string silent_connections;
  bool is_watch_waiting = true;
  bool is_paused = false;
  std::size_t daemons = 1;
  SUBCASE("the one of the watch, whose data is acknowledged") {
    silent_connections = "kv-watch";
    SUBCASE("while it waits") {}
    SUBCASE("while it waits and the daemon is paused") {
      is_paused = true;
    }
    SUBCASE("before it is sent") {
      is_watch_waiting = false;
    }
  }
  SUBCASE("the one of the watch, whose data is not acknowledged") {
    silence = SilenceKind::kUnacknowledged;
    silent_connections = "kv-watch";
    SUBCASE("while it waits") {}
    SUBCASE("before it is sent") {
      is_watch_waiting = false;
    }
  }
  SUBCASE("those of all calls, at holders and a standby") {
    daemons = 4;
    SUBCASE("whose data is acknowledged") {}
    SUBCASE("whose data is not acknowledged") {
      silence = SilenceKind::kUnacknowledged;
      is_watch_waiting = false;
    }
  }
  SUBCASE("those of the watches, at holders and a standby") {
    daemons = 4;
    silent_connections = "kv-watch";
    is_watch_waiting = false;
  }
  CAPTURE(silent_connections);
  CAPTURE(is_watch_waiting);
  CAPTURE(daemons);
  ProxiedFleet fleet(daemons);
  REQUIRE(fleet.CountHolders() == std::min<std::size_t>(daemons, 3));
  fleet.AnswerWatches();
  if (is_watch_waiting) {
    fleet.WaitForWatches();
  }

  const TimePoint silenced = Now();
  fleet.SilenceAll(silence, silent_connections);
  if (is_paused) {
    SignalAll(fleet, SIGSTOP);
  }
  std::this_thread::sleep_for(seconds(1));
  if (is_paused) {
    SignalAll(fleet, SIGCONT);
  }
  fleet.WriteRoutes(4, {kAdded});
  const TimePoint due = std::max(silenced + Duration(kStableWindow),
                                 Now() + Duration(kApplyBound));
  const std::vector<int> unserved = CountUnserved(fleet, due);
  for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
    CAPTURE(daemon);
    CHECK(unserved[daemon] == 0);
  }
}

TEST_CASE(
    "a request for a route that was just added is not refused as missing") {
  // A refusal may rest on what the store has shown within this time.
  constexpr milliseconds kMaxRefusalAge{100};
  ProxiedFleet fleet(1);
  fleet.AnswerWatches();
  SUBCASE("before the next watch is sent") {}
  SUBCASE("while the watch's connection is silent") {
    fleet.WaitForWatches();
    fleet.SilenceAll(SilenceKind::kAcknowledged, "kv-watch");
    std::this_thread::sleep_for(seconds(1));
  }
  fleet.WriteRoutes(4, {kAdded});
  std::this_thread::sleep_for(kMaxRefusalAge + milliseconds(20));
  for (int probe = 0; probe < kProbes; ++probe) {
    CHECK(fleet.Status(0, kAdded) != 404);
  }
}

}  // namespace bramleyspoke
