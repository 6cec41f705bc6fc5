#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include "loaded_fleet.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = 2;
// Requests on their way when a leaf answers, and their answers.
constexpr milliseconds kOnTheWay{500};

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::size_t CountFrom(const std::vector<LeafArrival>& arrivals,
                      TimePoint begin,
                      TimePoint end) {
  return static_cast<std::size_t>(std::count_if(
      arrivals.begin(), arrivals.end(), [&](const LeafArrival& arrival) {
        return arrival.at >= begin && arrival.at < end;
      }));
}

}  // namespace

TEST_CASE(
    "a leaf that says that it is leaving gets no requests though the "
    "store does not answer") {
  LoadedFleet fleet(kDaemons);
  fleet.WaitForArrivals(0);
  fleet.Store().StopAnswering();
  fleet.Leaf(0).SayLeaving();
  std::this_thread::sleep_for(kOnTheWay);
  const TimePoint told = Now();
  const int served_before = fleet.Served();
  std::this_thread::sleep_for(seconds(3));
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    CHECK_MESSAGE(CountFrom(fleet.ArrivalsOf(daemon, 0), told, Now()) == 0,
                  fleet.Relay(daemon).Log());
  }
  CHECK(fleet.Served() > served_before + 100);
}

TEST_CASE(
    "a leaf that asks for a pause gets none until it ends, then its "
    "requests again") {
  constexpr seconds kPause{3};
  LoadedFleet fleet(kDaemons);
  fleet.WaitForArrivals(0);
  fleet.Leaf(0).AskForPause(kPause);
  const TimePoint asked = Now();
  std::this_thread::sleep_for(kOnTheWay);
  fleet.Register(0);
  std::this_thread::sleep_until(asked + kPause);
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    CHECK_MESSAGE(CountFrom(fleet.ArrivalsOf(daemon, 0), asked + kOnTheWay,
                            asked + kPause) <= 2,
                  fleet.Relay(daemon).Log());
  }
  fleet.WaitForArrivals(0);
}

TEST_CASE(
    "daemons keep together to the rate that a leaf names, also while one "
    "of them restarts") {
  constexpr double kRate = 10;
  constexpr seconds kNoticeTime{1};
  constexpr seconds kWindow{4};
  constexpr double kAllowed = 1.5 * kRate * 4 + 5;
  LoadedFleet fleet(kDaemons);
  fleet.WaitForArrivals(0);
  fleet.Leaf(0).NameRate(kRate);
  const TimePoint named = Now();
  std::this_thread::sleep_for(seconds(3));
  fleet.Relay(1).Restart();
  std::this_thread::sleep_for(seconds(4));
  // The daemon that restarted is not told before its first answer.
  std::vector<TimePoint> arrivals;
  for (const LeafArrival& arrival : fleet.Leaf(0).Arrivals()) {
    arrivals.push_back(arrival.at);
  }
  const std::size_t most = MostInWindow(arrivals, named + kNoticeTime, kWindow);
  CHECK_MESSAGE(static_cast<double>(most) <= kAllowed, fleet.Relay(0).Log());
  CHECK(most > 0);
  fleet.Leaf(0).NameRate(std::nullopt);
  std::this_thread::sleep_for(seconds(1));
  fleet.WaitForArrivals(0);
}

}  // namespace bramleyspoke
