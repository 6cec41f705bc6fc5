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

constexpr std::size_t kDaemons = 9;
// The users' bound on the time until an acknowledged version is in force.
constexpr seconds kApplyBound{3};
constexpr seconds kPause{5};

const std::string kAdded = "/added/";

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::vector<std::size_t> Holders(ProxiedFleet& fleet) {
  std::vector<std::size_t> holders;
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    if (fleet.IsHolder(i)) {
      holders.push_back(i);
    }
  }
  REQUIRE(holders.size() == 3);
  return holders;
}

std::vector<std::size_t> Standbys(ProxiedFleet& fleet) {
  std::vector<std::size_t> standbys;
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    if (!fleet.IsHolder(i)) {
      standbys.push_back(i);
    }
  }
  return standbys;
}

int CountWatches(ProxiedFleet& fleet, const std::vector<std::size_t>& daemons) {
  int watches = 0;
  for (const std::size_t daemon : daemons) {
    watches += fleet.Relay(daemon).CountStoreCalls("watch");
  }
  return watches;
}

// Daemons that do not serve the prefix when the bound is over.
std::vector<std::size_t> NotServedInTime(
    const ProxiedFleet& fleet,
    const std::vector<std::size_t>& daemons,
    const std::string& prefix) {
  std::this_thread::sleep_until(Now() + Duration(kApplyBound));
  std::vector<std::size_t> late;
  for (const std::size_t daemon : daemons) {
    if (fleet.Status(daemon, prefix) != 200) {
      late.push_back(daemon);
    }
  }
  return late;
}

}  // namespace

TEST_CASE("standbys follow the store without watches of their own") {
  ProxiedFleet fleet(kDaemons);
  const auto standbys = Standbys(fleet);
  const int before = CountWatches(fleet, standbys);
  constexpr int kVersions = 4;
  for (int i = 0; i < kVersions; ++i) {
    const std::string prefix = "/added" + std::to_string(i) + "/";
    fleet.WriteRoutes(4 + i, {prefix});
    CHECK(NotServedInTime(fleet, standbys, prefix).empty());
  }
  CHECK(CountWatches(fleet, standbys) == before);
}

TEST_CASE(
    "standbys have a new version in time although the daemons that they "
    "follow do not pass it on") {
  ProxiedFleet fleet(kDaemons);
  const auto standbys = Standbys(fleet);
  const auto holders = Holders(fleet);
  const auto signal = [&](int number) {
    for (const std::size_t holder : holders) {
      fleet.Relay(holder).Signal(number);
    }
  };
  SUBCASE("as they are paused") {
    signal(SIGSTOP);
    fleet.WriteRoutes(4, {kAdded});
    CHECK(NotServedInTime(fleet, standbys, kAdded).empty());
    std::this_thread::sleep_for(kPause);
    signal(SIGCONT);
    std::this_thread::sleep_for(kApplyBound);
    CHECK(NotServedInTime(fleet, holders, kAdded).empty());
  }
  SUBCASE("as they are killed") {
    signal(SIGKILL);
    fleet.WriteRoutes(4, {kAdded});
    CHECK(NotServedInTime(fleet, standbys, kAdded).empty());
  }
  SUBCASE("as they stop") {
    signal(SIGTERM);
    fleet.WriteRoutes(4, {kAdded});
    CHECK(NotServedInTime(fleet, standbys, kAdded).empty());
  }
  SUBCASE("as the store has gone silent for them alone") {
    for (const std::size_t holder : holders) {
      fleet.Silence(holder, SilenceKind::kAcknowledged, "");
    }
    fleet.WriteRoutes(4, {kAdded});
    CHECK(NotServedInTime(fleet, standbys, kAdded).empty());
  }
}

TEST_CASE("a standby that starts opens no connections to leafs") {
  ProxiedFleet fleet(kDaemons);
  RelayProcess& standby = fleet.Relay(Standbys(fleet).front());
  standby.Restart();
  std::this_thread::sleep_for(seconds(4));
  const std::string metrics = standby.Metrics();
  CAPTURE(metrics);
  CHECK(metrics.find(R"(what="daemons"} 9)") != std::string::npos);
  CHECK(metrics.find(R"(what="leaf_connections_opened"} 0)") !=
        std::string::npos);
}

}  // namespace bramleyspoke
