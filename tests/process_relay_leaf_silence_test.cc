#include <doctest/doctest.h>

#include <thread>

#include "proxied_fleet.h"

namespace bramleyspoke {
namespace {

// The users' bound: a daemon has to follow the rules again this long after a
// disturbance.
constexpr std::chrono::seconds kStableWindow{4};
constexpr int kProbes = 20;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

TEST_CASE(
    "requests are served again soon after connections to leafs have gone "
    "silent") {
  SilenceKind silence = SilenceKind::kAcknowledged;
  SUBCASE("whose data is acknowledged") {}
  SUBCASE("whose data is not acknowledged") {
    silence = SilenceKind::kUnacknowledged;
  }
  // With these, the second silent connection is met later.
  Duration between_requests{0};
  SUBCASE("requests follow at once") {}
  SUBCASE("requests follow after a moment") {
    between_requests = std::chrono::milliseconds(60);
  }
  ProxiedFleet fleet(1);
  fleet.SilenceLeafs(silence);
  const TimePoint due = Now() + Duration(kStableWindow);
  while (Now() < due) {
    fleet.Status(0, ProxiedFleet::kBasePrefix);
    std::this_thread::sleep_for(between_requests);
  }
  for (int probe = 0; probe < kProbes; ++probe) {
    CHECK(fleet.Status(0, ProxiedFleet::kBasePrefix) == 200);
  }
}

}  // namespace bramleyspoke
