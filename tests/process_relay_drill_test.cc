#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "proxied_fleet.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Three holders and a standby.
constexpr std::size_t kDaemons = 4;
constexpr milliseconds kRequestInterval{10};
constexpr seconds kObserved{8};
// The users' bound on the time until an acknowledged version is in force.
constexpr seconds kApplyBound{3};
// Time for which the store is away, and from its return until the operator and
// the leafs have written again what it has lost.
constexpr milliseconds kAwayTime{400};
constexpr milliseconds kRewriteTime{800};
constexpr int kNewestVersion = 5;
const std::string kNewestPrefix = "/newest/";

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

/// Callers that each send requests to one daemon until they are stopped.
class Callers {
 public:
  explicit Callers(const ProxiedFleet& fleet) {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      m_threads.emplace_back([this, &fleet, daemon] {
        while (!m_is_done) {
          const int status = fleet.Status(daemon, ProxiedFleet::kBasePrefix);
          ++m_sent;
          m_unserved += status == 200 ? 0 : 1;
          std::this_thread::sleep_for(kRequestInterval);
        }
      });
    }
  }
  ~Callers() {
    m_is_done = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  int Sent() const { return m_sent; }
  int Unserved() const { return m_unserved; }

 private:
  std::atomic<bool> m_is_done = false;
  std::atomic<int> m_sent = 0;
  std::atomic<int> m_unserved = 0;
  std::vector<std::thread> m_threads;
};

std::vector<int> CountStoreCalls(ProxiedFleet& fleet) {
  std::vector<int> calls;
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    calls.push_back(fleet.Relay(daemon).CountStoreCalls());
  }
  return calls;
}

std::string DifferenceText(const std::vector<int>& before,
                           const std::vector<int>& after) {
  std::string text;
  for (std::size_t i = 0; i < before.size(); ++i) {
    text += (i == 0 ? "" : " ") + std::to_string(after[i] - before[i]);
  }
  return text;
}

bool AllServe(const ProxiedFleet& fleet, const std::string& prefix) {
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    if (fleet.Status(daemon, prefix) != 200) {
      return false;
    }
  }
  return true;
}

// Time until all daemons serve the newest version's route; at most the bound.
milliseconds TimeUntilNewest(const ProxiedFleet& fleet) {
  const TimePoint begin = Now();
  while (!AllServe(fleet, kNewestPrefix) &&
         Now() - begin < Duration(kApplyBound)) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return std::chrono::duration_cast<milliseconds>(Now() - begin);
}

}  // namespace

TEST_CASE(
    "relays serve every request while the store comes back from an older "
    "copy") {
  ProxiedFleet fleet(kDaemons);
  const Callers callers(fleet);
  const auto calls_at_begin = CountStoreCalls(fleet);
  std::this_thread::sleep_for(kObserved);
  const auto calls_before = CountStoreCalls(fleet);
  const TimePoint drill = Now();

  fleet.Store().TakeCopy();
  fleet.WriteRoutes(kNewestVersion - 1, {"/lost/"});
  std::this_thread::sleep_for(seconds(1));
  REQUIRE(AllServe(fleet, "/lost/"));
  fleet.Store().StopAnswering();
  std::this_thread::sleep_for(kAwayTime);
  fleet.Store().ReturnToCopy();
  fleet.Store().AnswerAgain();
  std::this_thread::sleep_for(kRewriteTime);
  CHECK(AllServe(fleet, "/lost/"));
  fleet.RegisterLeafs();
  fleet.WriteRoutes(kNewestVersion, {"/lost/", kNewestPrefix});
  const milliseconds taken = TimeUntilNewest(fleet);

  std::this_thread::sleep_until(drill + Duration(kObserved));
  const auto calls_after = CountStoreCalls(fleet);
  MESSAGE("calls to the store by daemon in 8 s: "
          << DifferenceText(calls_at_begin, calls_before) << " before, "
          << DifferenceText(calls_before, calls_after)
          << " around the drill; newest version at all daemons after "
          << taken.count() << " ms; " << callers.Unserved() << " of "
          << callers.Sent() << " requests not served");
  CHECK(taken < kApplyBound);
  CHECK(callers.Unserved() == 0);
}

}  // namespace bramleyspoke
