#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "disturbed_daemons.h"
#include "proxied_fleet.h"
#include "soak_seed.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kDefaultSeed = 2001;
constexpr seconds kLength{50};
constexpr milliseconds kStep{100};
// Three holders and a standby.
constexpr std::size_t kDaemons = 4;
// The users' bounds: a daemon has to follow the rules again this long after a
// disturbance, and to serve by a version this long after it was acknowledged.
constexpr seconds kStableWindow{4};
constexpr seconds kApplyBound{3};
// One step in this many has the event.
constexpr std::size_t kVersionOdds = 15;
constexpr std::size_t kSilenceOdds = 60;
constexpr std::size_t kDisturbanceOdds = 80;
constexpr std::size_t kStoreOdds = 150;
constexpr std::size_t kResetOdds = 80;
constexpr milliseconds kMaxPause{3000};
constexpr milliseconds kMaxStoreEvent{3000};
// Time that the operator and the leafs take to write again what the store has
// lost.
constexpr milliseconds kRewriteTime{500};

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::string PrefixOf(int version) {
  return "/v" + std::to_string(version) + "/";
}

/// Writes versions while connections to the store go silent or are reset,
/// daemons restart and pause, and the store is away or comes back from an older
/// copy.
///
/// Version n adds the route of `PrefixOf(n)`, which version n + 2 drops.
class ConfigSoak {
 public:
  explicit ConfigSoak(std::uint64_t seed)
      : m_random(seed), m_reset_random(~seed) {}

  void Run() {
    WriteVersion();
    WriteVersion();
    const TimePoint end = Now() + Duration(kLength);
    while (Now() < end) {
      m_daemons.ResumeDue();
      if (Happens(kVersionOdds)) {
        WriteVersion();
      }
      if (Happens(kSilenceOdds)) {
        SilenceSome();
      }
      if (Happens(kDisturbanceOdds)) {
        DisturbOne();
      }
      if (Happens(kStoreOdds)) {
        DisturbStore();
      }
      if (m_reset_random() % kResetOdds == 0) {
        ResetAll();
      }
      ProbeAll();
      std::this_thread::sleep_for(kStep);
    }
  }

  int Checked() const { return m_checked; }
  int Served() const { return m_served; }
  /// What broke the users' rules; empty if nothing did.
  const std::string& Breaches() const { return m_breaches; }
  std::string Log(std::size_t daemon) { return m_fleet.Relay(daemon).Log(); }

 private:
  struct WrittenVersion {
    int number = 0;
    TimePoint acknowledged;
  };

  std::size_t Random(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
  }
  bool Happens(std::size_t odds) { return Random(odds) == 0; }
  milliseconds RandomTime(milliseconds max) {
    return milliseconds(Random(static_cast<std::size_t>(max.count())));
  }

  void WriteNewest() {
    m_fleet.WriteRoutes(m_newest, {PrefixOf(m_newest), PrefixOf(m_newest - 1)});
  }

  void WriteVersion() {
    ++m_newest;
    WriteNewest();
    m_versions.push_back({m_newest, Now()});
  }

  void SilenceSome() {
    constexpr std::array<std::string_view, 3> kConnections{"kv-watch",
                                                           "kv-lease", ""};
    const SilenceKind kind = Random(2) == 0 ? SilenceKind::kAcknowledged
                                            : SilenceKind::kUnacknowledged;
    const std::string_view connections = kConnections[Random(3)];
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      if (Random(2) == 0) {
        m_fleet.Silence(daemon, kind, connections);
        if (!m_daemons.IsPaused(daemon)) {
          m_daemons.OnDisturbed(daemon);
        }
      }
    }
  }

  // The daemons are stopped meanwhile, so that each finds all its connections
  // broken at one moment.
  void ResetAll() {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      m_fleet.Relay(daemon).Signal(SIGSTOP);
      m_fleet.Reset(daemon);
      if (!m_daemons.IsPaused(daemon)) {
        m_fleet.Relay(daemon).Signal(SIGCONT);
      }
    }
    DisturbAll();
  }

  void DisturbOne() {
    const std::size_t daemon = Random(kDaemons);
    if (m_daemons.IsPaused(daemon)) {
      return;
    }
    if (Random(2) == 0) {
      m_daemons.Restart(daemon);
      m_seen[daemon] = 0;
      return;
    }
    m_daemons.Pause(daemon, RandomTime(kMaxPause));
  }

  void DisturbAll() {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      if (!m_daemons.IsPaused(daemon)) {
        m_daemons.OnDisturbed(daemon);
      }
    }
  }

  // Daemons go on serving meanwhile, but none is in touch.
  void DisturbStore() {
    if (Random(2) == 0) {
      m_fleet.Store().StopAnswering();
      ProbeFor(RandomTime(kMaxStoreEvent));
      m_fleet.Store().AnswerAgain();
    } else {
      m_fleet.Store().TakeCopy();
      WriteVersion();
      ProbeFor(RandomTime(kMaxStoreEvent));
      m_fleet.Store().ReturnToCopy();
      ProbeFor(kRewriteTime);
      m_fleet.RegisterLeafs();
      WriteNewest();
    }
    DisturbAll();
  }

  void ProbeFor(Duration duration) {
    const TimePoint end = Now() + duration;
    while (Now() < end) {
      m_daemons.ResumeDue();
      DisturbAll();
      ProbeAll();
      std::this_thread::sleep_for(kStep);
    }
  }

  void ProbeAll() {
    for (const std::size_t daemon : m_daemons.RestartEnded()) {
      AddBreach(daemon, "ended by itself");
      m_seen[daemon] = 0;
    }
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      Probe(daemon);
    }
  }

  void Probe(std::size_t daemon) {
    if (m_daemons.IsPaused(daemon)) {
      return;
    }
    if (m_daemons.IsInTouch(daemon)) {
      CheckDueVersion(daemon);
    }
    CheckNoRegress(daemon);
  }

  // The newest version that has to be in force.
  int DueVersion() const {
    int due = 0;
    for (const WrittenVersion& version : m_versions) {
      if (Now() - version.acknowledged >= Duration(kApplyBound)) {
        due = version.number;
      }
    }
    return due;
  }

  void CheckDueVersion(std::size_t daemon) {
    const int due = DueVersion();
    if (due < m_newest - 1) {
      return;
    }
    const int status = Ask(daemon, due);
    ++m_checked;
    m_served += status == 200 ? 1 : 0;
    if (status == 404) {
      AddBreach(daemon, "no route of the due version " + std::to_string(due));
    }
    if (Ask(daemon, due - 2) == 200) {
      AddBreach(daemon,
                "a route that was dropped by version " + std::to_string(due));
    }
  }

  // A daemon that has served by a version must not go back behind it, whatever
  // happens.
  void CheckNoRegress(std::size_t daemon) {
    const int seen = m_seen[daemon];
    if (seen >= m_newest - 1 && Ask(daemon, seen) == 404) {
      AddBreach(daemon, "back behind version " + std::to_string(seen));
    }
    Ask(daemon, m_newest);
  }

  int Ask(std::size_t daemon, int version) {
    const int status = m_fleet.Status(daemon, PrefixOf(version));
    if (status == 200) {
      m_seen[daemon] = std::max(m_seen[daemon], version);
    }
    return status;
  }

  void AddBreach(std::size_t daemon, const std::string& what) {
    const auto at = std::chrono::duration_cast<milliseconds>(Now() - m_start);
    m_breaches += "daemon " + std::to_string(daemon) + " at " +
                  std::to_string(at.count()) + " ms: " + what + "\n";
  }

  std::mt19937_64 m_random;
  // Separate, so that a seed's other events do not depend on the resets.
  std::mt19937_64 m_reset_random;
  ProxiedFleet m_fleet{kDaemons};
  DisturbedDaemons m_daemons{{&m_fleet.Relay(0), &m_fleet.Relay(1),
                              &m_fleet.Relay(2), &m_fleet.Relay(3)},
                             kStableWindow};
  const TimePoint m_start = Now();
  int m_newest = 10;
  std::vector<WrittenVersion> m_versions;
  /// By daemon, the newest version that it has shown since its start.
  std::array<int, kDaemons> m_seen{};
  int m_checked = 0;
  int m_served = 0;
  std::string m_breaches;
};

}  // namespace

TEST_CASE(
    "a version stays in force from its bound on while connections go silent, "
    "daemons restart and pause, and the store comes back from a copy") {
  const std::uint64_t seed = SoakSeed(kDefaultSeed);
  CAPTURE(seed);
  ConfigSoak soak(seed);
  soak.Run();
  MESSAGE("seed " << seed << ": " << soak.Served() << " of " << soak.Checked()
                  << " requests for a due version served");
  CHECK(soak.Checked() > 0);
  CHECK_MESSAGE(soak.Breaches().empty(), soak.Breaches());
  if (!soak.Breaches().empty()) {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      MESSAGE("daemon " << daemon << ":\n" << soak.Log(daemon));
    }
  }
}

}  // namespace bramleyspoke
