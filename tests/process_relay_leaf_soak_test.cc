#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "disturbed_daemons.h"
#include "loaded_fleet.h"
#include "soak_seed.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kDefaultSeed = 3001;
constexpr seconds kLength{40};
constexpr milliseconds kStep{100};
constexpr std::size_t kDaemons = 3;
// The users' bounds: when a request may still reach a leaf that has said that
// it is leaving, how many may in a pause, and from when on a rate holds.
constexpr seconds kDrainTime{4};
constexpr milliseconds kOnTheWay{500};
constexpr std::size_t kMaxInPause = 2;
constexpr seconds kStableWindow{5};
constexpr seconds kRateWindow{4};
// One step in this many has the event.
constexpr std::size_t kLeafOdds = 15;
constexpr std::size_t kDisturbanceOdds = 60;
constexpr std::size_t kStoreOdds = 80;
constexpr milliseconds kMaxPause{3000};
constexpr milliseconds kMaxStoreEvent{5000};
constexpr milliseconds kMaxLeafEvent{9000};

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

/// Leafs leave, ask for pauses and name rates while daemons restart and pause
/// and the store is away or comes back from an older copy.
class LeafSoak {
 public:
  explicit LeafSoak(std::uint64_t seed) : m_random(seed) {}

  void Run() {
    m_fleet.WaitForArrivals(0);
    const TimePoint end = Now() + Duration(kLength);
    while (Now() < end) {
      m_daemons.ResumeDue();
      for (const std::size_t ended : m_daemons.RestartEnded()) {
        Note(ended);
        ++m_daemons_ended;
      }
      for (std::size_t leaf = 0; leaf < LoadedFleet::kLeafs; ++leaf) {
        DisturbLeaf(leaf);
      }
      if (Happens(kDisturbanceOdds)) {
        DisturbDaemon();
      }
      DisturbStore();
      std::this_thread::sleep_for(kStep);
    }
  }

  /// What broke the users' rules; empty if nothing did.
  std::string Breaches() {
    m_breaches.clear();
    for (std::size_t leaf = 0; leaf < LoadedFleet::kLeafs; ++leaf) {
      for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
        const auto arrivals = m_fleet.ArrivalsOf(daemon, leaf);
        CheckLeaving(daemon, arrivals);
        CheckPauses(daemon, arrivals);
      }
      CheckRates(leaf);
    }
    return m_breaches;
  }

  /// What was done when.
  const std::string& Events() const { return m_events; }
  int Served() const { return m_fleet.Served(); }
  std::size_t LeafEvents() const { return m_leaf_events; }
  std::size_t DaemonsEnded() const { return m_daemons_ended; }

 private:
  std::size_t Random(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
  }
  bool Happens(std::size_t odds) { return Random(odds) == 0; }
  milliseconds RandomTime(milliseconds max) {
    return milliseconds(Random(static_cast<std::size_t>(max.count())));
  }

  // An event ends with a new run of the leaf or without one.
  void DisturbLeaf(std::size_t index) {
    FakePlatformLeaf& leaf = m_fleet.Leaf(index);
    std::optional<TimePoint>& until = m_leaf_until.at(index);
    if (until && Now() >= *until) {
      leaf.StartNewRun();
      m_fleet.Register(index);
      NoteEvent("leaf " + std::to_string(index) + " starts again");
      until.reset();
    }
    if (until || !Happens(kLeafOdds)) {
      return;
    }
    ++m_leaf_events;
    until = Now() + RandomTime(kMaxLeafEvent);
    const std::string name = "leaf " + std::to_string(index);
    switch (Random(3)) {
      case 0:
        NoteEvent(name + " says that it is leaving");
        leaf.SayLeaving();
        break;
      case 1:
        NoteEvent(name + " asks for a pause");
        leaf.AskForPause(milliseconds(500) + RandomTime(kMaxPause));
        break;
      default:
        NoteEvent(name + " names a rate");
        leaf.NameRate(5.0 + static_cast<double>(Random(30)));
        break;
    }
  }

  void Note(std::size_t daemon) { m_disturbances.at(daemon).push_back(Now()); }

  void DisturbDaemon() {
    const std::size_t daemon = Random(kDaemons);
    if (m_daemons.IsPaused(daemon)) {
      return;
    }
    Note(daemon);
    if (Random(2) == 0) {
      m_daemons.Restart(daemon);
    } else {
      const milliseconds time = RandomTime(kMaxPause);
      m_daemons.Pause(daemon, time);
      m_disturbances.at(daemon).push_back(Now() + Duration(time));
    }
  }

  void DisturbStore() {
    if (m_store_until) {
      if (Now() >= *m_store_until) {
        NoteEvent("the store is back");
        m_fleet.Store().AnswerAgain();
        m_store_until.reset();
      }
      return;
    }
    if (!Happens(kStoreOdds)) {
      return;
    }
    if (Random(2) == 0) {
      NoteEvent("the store is away");
      m_fleet.Store().StopAnswering();
      m_store_until = Now() + RandomTime(kMaxStoreEvent);
    } else {
      NoteEvent("the store comes back from a copy");
      m_fleet.Store().TakeCopy();
      std::this_thread::sleep_for(RandomTime(kStep));
      m_fleet.Store().ReturnToCopy();
    }
  }

  // A restart or a pause of the daemon excuses it.
  bool IsDisturbed(std::size_t daemon, TimePoint begin, TimePoint end) const {
    const auto& times = m_disturbances.at(daemon);
    return std::any_of(times.begin(), times.end(),
                       [&](TimePoint at) { return at >= begin && at <= end; });
  }

  // Milliseconds since the soak began.
  std::string TimeText(TimePoint at) const {
    return std::to_string(ToMilliseconds(at - m_begin)) + " ms";
  }

  void Report(std::size_t daemon,
              const LeafArrival& arrival,
              const std::string& what) {
    m_breaches += TimeText(arrival.at) + " daemon " + std::to_string(daemon) +
                  ", run " + std::to_string(arrival.run) + ": " + what + "\n";
  }

  void NoteEvent(const std::string& what) {
    m_events += TimeText(Now()) + " " + what + "\n";
  }

  void CheckLeaving(std::size_t daemon,
                    const std::vector<LeafArrival>& arrivals) {
    std::optional<LeafArrival> told;
    for (const LeafArrival& arrival : arrivals) {
      if (told && (told->run != arrival.run ||
                   IsDisturbed(daemon, told->at, arrival.at))) {
        told.reset();
      }
      if (told && arrival.at > told->at + Duration(kDrainTime)) {
        Report(daemon, arrival, "a request at a leaf that is leaving");
        break;
      }
      if (!told && arrival.is_leaving) {
        told = arrival;
      }
    }
  }

  void CheckPauses(std::size_t daemon,
                   const std::vector<LeafArrival>& arrivals) {
    for (const LeafArrival& told : arrivals) {
      if (!told.paused_until) {
        continue;
      }
      const TimePoint begin = told.at + Duration(kOnTheWay);
      const auto count = std::count_if(
          arrivals.begin(), arrivals.end(), [&](const LeafArrival& arrival) {
            return arrival.run == told.run && arrival.at >= begin &&
                   arrival.at < *told.paused_until;
          });
      if (static_cast<std::size_t>(count) > kMaxInPause &&
          !IsDisturbed(daemon, told.at, *told.paused_until)) {
        Report(daemon, told, std::to_string(count) + " requests in a pause");
      }
    }
  }

  // Counts the requests of daemons that have been told, undisturbed since.
  void CheckRates(std::size_t leaf) {
    std::map<std::string, TimePoint> told_at;
    std::vector<TimePoint> counted;
    std::optional<TimePoint> named_at;
    double rate = 0;
    std::int64_t run = 0;
    const auto check = [&] {
      const auto allowed = static_cast<std::size_t>(
          1.5 * rate * std::chrono::duration<double>(kRateWindow).count() + 5);
      if (named_at && MostInWindow(counted, *named_at + kStableWindow,
                                   kRateWindow) > allowed) {
        m_breaches += "more requests than a leaf's rate of " +
                      std::to_string(rate) + " allows\n";
      }
      counted.clear();
      told_at.clear();
      named_at.reset();
    };
    for (const LeafArrival& arrival : m_fleet.Leaf(leaf).Arrivals()) {
      if (!arrival.request_rate || arrival.run != run) {
        check();
      }
      run = arrival.run;
      if (!arrival.request_rate) {
        continue;
      }
      rate = *arrival.request_rate;
      named_at = named_at.value_or(arrival.at);
      const auto told = told_at.emplace(arrival.body, arrival.at).first;
      const std::size_t daemon = DaemonNamed(arrival.body);
      if (daemon < kDaemons && IsDisturbed(daemon, told->second, arrival.at)) {
        told->second = arrival.at;
      }
      if (arrival.at >= told->second + Duration(kOnTheWay)) {
        counted.push_back(arrival.at);
      }
    }
    check();
  }

  static std::size_t DaemonNamed(const std::string& name) {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      if (name == LoadedFleet::Name(daemon)) {
        return daemon;
      }
    }
    return kDaemons;
  }

  std::mt19937_64 m_random;
  LoadedFleet m_fleet{kDaemons};
  DisturbedDaemons m_daemons{m_fleet.Relays(), kStableWindow};
  std::vector<std::optional<TimePoint>> m_leaf_until{LoadedFleet::kLeafs};
  /// By daemon.
  std::vector<std::vector<TimePoint>> m_disturbances{kDaemons};
  std::optional<TimePoint> m_store_until;
  const TimePoint m_begin = Now();
  std::string m_breaches;
  std::string m_events;
  std::size_t m_leaf_events = 0;
  std::size_t m_daemons_ended = 0;
};

}  // namespace

TEST_CASE(
    "leafs that leave, ask for pauses or name rates get no more than they "
    "want while daemons and store are disturbed") {
  const std::uint64_t seed = SoakSeed(kDefaultSeed);
  CAPTURE(seed);
  LeafSoak soak(seed);
  soak.Run();
  const std::string breaches = soak.Breaches();
  MESSAGE("seed " << seed << ": " << soak.LeafEvents() << " events of leafs, "
                  << soak.Served() << " requests served");
  CHECK_MESSAGE(breaches.empty(), breaches << soak.Events());
  CHECK(soak.DaemonsEnded() == 0);
  CHECK(soak.Served() > 0);
}

}  // namespace bramleyspoke
