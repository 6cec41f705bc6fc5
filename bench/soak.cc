#include "soak.h"

#include <array>
#include <csignal>
#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <thread>

#include "child_process.h"
#include "history_checker.h"
#include "observer.h"

namespace bramleyspoke::Harness {
namespace {

constexpr std::size_t kDaemons = 4;
constexpr int kFaultsPerRound = 10;
constexpr int kMaxPauseMs = 3000;
constexpr std::size_t kRecoveryAnswers = 50;
constexpr std::chrono::seconds kRecoveryTimeout{30};

struct LeafFaultChoice {
  const char* fault;
  const char* value;
};

constexpr std::array<LeafFaultChoice, 12> kLeafFaults{{
    {"slow", "20"},
    {"freeze", "2000"},
    {"crash", "1500"},
    {"restart", ""},
    {"refuse", R"("shed")"},
    {"drop_answer", "0"},
    {"half_answer", "0"},
    {"wrong_id", "0"},
    {"wrong_echo", R"("version")"},
    {"late_answer", "800"},
    {"lie_load", "0"},
    {"shed", "0.5"},
}};

constexpr std::array<const char*, 5> kStoreFaults{
    R"({"mode":"down"})",
    R"({"mode":"slow","delay_ms":800})",
    R"({"mode":"lose_answers","count":4})",
    R"({"mode":"unavailable","count":20})",
    R"({"mode":"break_watches"})",
};

std::vector<ServiceLoad> SoakLoads() {
  std::vector<ServiceLoad> loads(2);
  loads[0].service = "search";
  loads[1].service = "restore";
  loads[1].is_idempotent = false;
  for (ServiceLoad& load : loads) {
    load.rate = 30;
    load.resends = 4;
  }
  return loads;
}

// One round: random faults on a fleet, recovery, and the history check.
class SoakRound {
 public:
  SoakRound(Fleet& fleet, std::uint64_t seed)
      : m_fleet(fleet),
        m_random(seed),
        m_observer(Observer::Start(fleet.CallerAddresses(), fleet.Store())) {
    LoadOptions options;
    options.daemons = fleet.CallerAddresses();
    options.services = SoakLoads();
    options.seed = seed;
    m_load = LoadGenerator::Create(std::move(options));
    m_history.services = MakeServiceProperties(fleet.Plan());
  }

  std::string Run() {
    m_load->Start();
    for (int i = 0; i < kFaultsPerRound; ++i) {
      InjectFault();
      std::this_thread::sleep_for(
          std::chrono::milliseconds(RandomBelow(kMaxPauseMs)));
    }
    const bool is_recovered = Recover();
    m_load->Stop();
    m_history.callers = m_load->TakeEvents();
    m_history.leafs = m_fleet.TakeLeafLog();
    m_observer->Finish(m_history);
    std::string failures = Describe(CheckHistory(m_history));
    if (!is_recovered) {
      failures +=
          "no recovery after the faults ended: a daemon is not ready, or fewer "
          "than 50 full answers within 30 s\n";
    }
    return failures;
  }

  std::size_t SendCount() const { return m_history.callers.size(); }

 private:
  std::size_t RandomBelow(std::size_t count) { return m_random() % count; }

  void InjectFault() {
    switch (RandomBelow(6)) {
      case 0:
        KillDaemon();
        break;
      case 1:
        FreezeDaemon();
        break;
      case 2:
        StopDaemon();
        break;
      case 3:
        m_fleet.InjectStoreFault(
            kStoreFaults[RandomBelow(kStoreFaults.size())]);
        break;
      case 4:
        Publish();
        break;
      default:
        InjectLeafFault();
        break;
    }
  }

  void KillDaemon() {
    const std::size_t daemon = RandomBelow(kDaemons);
    m_fleet.Kill(daemon);
    m_fleet.StartDaemon(daemon);
  }

  void FreezeDaemon() {
    const std::size_t daemon = RandomBelow(kDaemons);
    m_fleet.Signal(daemon, SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(RandomBelow(8000)));
    m_fleet.Signal(daemon, SIGCONT);
  }

  void StopDaemon() {
    const std::size_t daemon = RandomBelow(kDaemons);
    m_history.stops.push_back(m_fleet.Stop(daemon));
    m_fleet.StartDaemon(daemon);
  }

  void Publish() {
    Manifest manifest = MakeManifest(m_fleet.Plan(), m_fleet.Leafs());
    for (ServiceSpec& spec : manifest.services) {
      spec.holders = static_cast<std::uint32_t>(1 + RandomBelow(kDaemons));
    }
    m_history.publishes.push_back(m_fleet.Publish(manifest));
  }

  void InjectLeafFault() {
    const LeafPlan& leaf = m_fleet.Leafs()[RandomBelow(m_fleet.Leafs().size())];
    const LeafFaultChoice& choice =
        kLeafFaults[RandomBelow(kLeafFaults.size())];
    m_fleet.InjectLeafFault(ToString(leaf.address), choice.fault, choice.value);
  }

  bool Recover() {
    m_fleet.InjectStoreFault(R"({"mode":"none"})");
    m_fleet.InjectLeafFault("*", "none", "");
    if (!m_fleet.WaitAllReady()) {
      return false;
    }
    const std::size_t goal = m_load->FullAnswerCount() + kRecoveryAnswers;
    return WaitUntil([&] { return m_load->FullAnswerCount() >= goal; },
                     kRecoveryTimeout);
  }

  Fleet& m_fleet;
  std::mt19937_64 m_random;
  std::unique_ptr<Observer> m_observer;
  std::unique_ptr<LoadGenerator> m_load;
  History m_history;
};

// Returns false if the round failed.
Result<bool> RunRound(const BenchOptions& options, std::uint64_t seed) {
  FleetOptions fleet_options;
  fleet_options.programs = options.programs;
  fleet_options.daemons = kDaemons;
  fleet_options.deployment = MakeSmallDeployment();
  BOOST_LEAF_AUTO(fleet, Fleet::Start(std::move(fleet_options)));
  fleet->StartAllDaemons();
  if (!fleet->WaitAllReady()) {
    return Fail(fleet->Directory(), "all daemons to become ready within 20 s");
  }
  SoakRound round(*fleet, seed);
  const std::string failures = round.Run();
  std::cerr << "seed " << seed << ": " << round.SendCount() << " sends, "
            << (failures.empty() ? "no violations" : "FAILED") << "\n"
            << failures;
  return failures.empty();
}

}  // namespace

Result<std::size_t> RunSoak(const BenchOptions& options) {
  const TimePoint end = std::chrono::steady_clock::now() + options.length;
  std::size_t rounds = 0;
  std::size_t failed = 0;
  while (std::chrono::steady_clock::now() < end) {
    BOOST_LEAF_AUTO(has_passed, RunRound(options, options.seed + rounds));
    ++rounds;
    failed += has_passed ? 0 : 1;
  }
  const RunLabel label{"soak", std::to_string(kDaemons) + " daemons",
                       options.seed};
  PrintFigure(label, "rounds", static_cast<double>(rounds));
  PrintFigure(label, "rounds failed", static_cast<double>(failed));
  return failed;
}

}  // namespace bramleyspoke::Harness
