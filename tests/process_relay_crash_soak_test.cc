#include <doctest/doctest.h>

#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include "crashing_fleet.h"
#include "disturbed_daemons.h"
#include "soak_seed.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kDefaultSeed = 1002;
constexpr seconds kLength{45};
constexpr milliseconds kStep{250};
// The rule counts daemons that have run undisturbed for this long, and retries
// sent this long after the third crash.
constexpr seconds kStableWindow{5};
constexpr int kMaxRetriesAfterThirdCrash = 3;
// One step in this many sends the crashing request, or disturbs a daemon. The
// request comes seldom enough that daemons are in touch again between two.
constexpr std::size_t kCrashingRequestOdds = 8;
constexpr std::size_t kDisturbanceOdds = 24;
constexpr seconds kMinPause{1};
constexpr seconds kMaxPause{4};

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

/// Sends requests to random daemons while others are restarted and paused.
class CrashSoak {
 public:
  CrashSoak(std::uint64_t seed, std::string target)
      : m_random(seed), m_target(std::move(target)) {}

  void Run() {
    const TimePoint end = Now() + Duration(kLength);
    while (Now() < end) {
      m_daemons.ResumeDue();
      m_daemons_ended += m_daemons.RestartEnded().size();
      DisturbOne();
      SendCrashingRequest();
      SendHarmlessRequest();
      std::this_thread::sleep_for(kStep);
    }
  }

  int Crashes() const { return m_fleet.Crashes(); }
  int RetriesAfterThirdCrash() const { return m_retries; }
  int HarmlessRefusedAsSuspect() const { return m_harmless_suspects; }
  int HarmlessAnswered() const { return m_harmless_answered; }
  /// Number of daemons that ended by themselves.
  std::size_t DaemonsEnded() const { return m_daemons_ended; }

 private:
  static constexpr std::size_t kDaemons = CrashingFleet::kDaemons;

  std::size_t Random(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
  }

  // The request may come again with another query or without one.
  std::string RandomQuery() {
    const std::size_t page = Random(4);
    return page == 0 ? "" : "?page=" + std::to_string(page);
  }

  // A restart and a pause are equally likely.
  void DisturbOne() {
    const std::size_t daemon = Random(kDaemons);
    if (Random(kDisturbanceOdds) > 0 || m_daemons.IsPaused(daemon)) {
      return;
    }
    if (Random(2) == 0) {
      m_daemons.Restart(daemon);
      return;
    }
    const auto extra =
        static_cast<int>(Random((kMaxPause - kMinPause).count()));
    m_daemons.Pause(daemon, kMinPause + seconds(extra));
  }

  void SendCrashingRequest() {
    const std::size_t daemon = Random(kDaemons);
    if (Random(kCrashingRequestOdds) > 0 || m_daemons.IsPaused(daemon)) {
      return;
    }
    const bool is_counted =
        m_daemons.IsInTouch(daemon) && m_third_crash_at &&
        Now() - *m_third_crash_at >= Duration(kStableWindow);
    const int before = m_fleet.Crashes();
    m_fleet.Relay(daemon).Send(std::string(FakePlatformLeaf::kCrashingBody),
                               m_target + RandomQuery());
    const bool has_crashed = m_fleet.Crashes() > before;
    m_retries += is_counted && has_crashed ? 1 : 0;
    if (!m_third_crash_at && m_fleet.Crashes() >= 3) {
      m_third_crash_at = Now();
    }
  }

  void SendHarmlessRequest() {
    const std::size_t daemon = Random(kDaemons);
    if (m_daemons.IsPaused(daemon)) {
      return;
    }
    const HttpResponse answer = m_fleet.Relay(daemon).Send(
        "harmless-" + std::to_string(Random(3)), m_target);
    m_harmless_answered += answer.status == 200 ? 1 : 0;
    m_harmless_suspects +=
        answer.body.find("crash_suspect") != std::string::npos ? 1 : 0;
  }

  std::mt19937_64 m_random;
  std::string m_target;
  CrashingFleet m_fleet;
  DisturbedDaemons m_daemons{
      {&m_fleet.Relay(0), &m_fleet.Relay(1), &m_fleet.Relay(2)},
      kStableWindow};
  std::optional<TimePoint> m_third_crash_at;
  int m_retries = 0;
  int m_harmless_suspects = 0;
  int m_harmless_answered = 0;
  std::size_t m_daemons_ended = 0;
};

}  // namespace

TEST_CASE(
    "a request that crashes leafs stays within its retries while daemons "
    "restart and pause") {
  const std::uint64_t seed = SoakSeed(kDefaultSeed);
  CAPTURE(seed);
  std::string target;
  SUBCASE("one service") {
    target = "/lookup";
  }
  SUBCASE("several shards") {
    target = "/sweep/all";
  }
  CAPTURE(target);
  CrashSoak soak(seed, target);
  soak.Run();
  MESSAGE("seed " << seed << " " << target << ": " << soak.Crashes()
                  << " crashes, " << soak.RetriesAfterThirdCrash()
                  << " retries after the third, " << soak.HarmlessAnswered()
                  << " harmless requests answered");
  CHECK(soak.Crashes() >= 3);
  CHECK(soak.RetriesAfterThirdCrash() <= kMaxRetriesAfterThirdCrash);
  CHECK(soak.HarmlessRefusedAsSuspect() == 0);
  CHECK(soak.DaemonsEnded() == 0);
  CHECK(soak.HarmlessAnswered() > 0);
}

}  // namespace bramleyspoke
