#include "trial.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <exception>
#include <thread>
#include <utility>

#include "history_checker.h"
#include "observer.h"

namespace bramleyspoke::Harness {
namespace {

namespace json = boost::json;

constexpr std::chrono::seconds kWarmUp{2};
constexpr std::chrono::seconds kSliceLength{5};
constexpr std::chrono::seconds kPublishTimeout{30};

std::uint64_t GenerationOf(const Endpoint& daemon) {
  try {
    const HttpResponse response = Call(daemon, "GET", "/v1/status");
    return json::parse(response.body)
        .at("generation")
        .to_number<std::uint64_t>();
  } catch (const std::exception&) {
    return 0;
  }
}

double CoresUsed(Duration used, Duration elapsed) {
  return static_cast<double>(used.count()) /
         static_cast<double>(elapsed.count());
}

class FleetTrial final : public Trial {
 public:
  FleetTrial(std::string bench_case,
             BenchOptions options,
             std::unique_ptr<Fleet> fleet,
             std::vector<ServiceLoad> loads)
      : m_case(std::move(bench_case)),
        m_options(std::move(options)),
        m_fleet(std::move(fleet)),
        m_loads(std::move(loads)),
        m_observer(
            Observer::Start(m_fleet->CallerAddresses(), m_fleet->Store())) {
    m_history.services = MakeServiceProperties(m_fleet->Plan());
  }

  Fleet& GetFleet() override { return *m_fleet; }
  History& GetHistory() override { return m_history; }
  const BenchOptions& Options() const override { return m_options; }

  void SetLoads(std::vector<ServiceLoad> loads) override {
    m_loads = std::move(loads);
  }

  bool Publish(const Manifest& manifest) override {
    const PublishEvent event = m_fleet->Publish(manifest);
    m_history.publishes.push_back(event);
    if (event.end != PublishEnd::kAccepted) {
      return false;
    }
    return WaitUntil([&] { return IsInForce(event.generation); },
                     kPublishTimeout);
  }

  void Measure(const std::string& variant,
               const std::function<void()>& during) override {
    const FleetUsage before = m_fleet->Usage();
    const TimePoint from = std::chrono::steady_clock::now();
    Report(variant,
           RunSlice(variant, m_options.length, m_options.seed, during));
    const Duration elapsed = std::chrono::steady_clock::now() - from;
    const FleetUsage after = m_fleet->Usage();
    ReportFigure(variant, "cores used by all daemons",
                 CoresUsed(after.daemons - before.daemons, elapsed));
    ReportFigure(variant, "cores used by the stand-ins",
                 CoresUsed(after.stand_ins - before.stand_ins, elapsed));
  }

  void MeasureAlternating(const std::vector<Variant>& variants) override {
    const auto rounds = std::max<long long>(1, m_options.length / kSliceLength);
    std::vector<std::vector<CallerEvent>> events(variants.size());
    for (long long round = 0; round < rounds; ++round) {
      for (std::size_t i = 0; i < variants.size(); ++i) {
        Publish(variants[i].manifest);
        const auto slice = RunSlice(variants[i].name + std::to_string(round),
                                    kSliceLength, m_options.seed + round, {});
        events[i].insert(events[i].end(), slice.begin(), slice.end());
      }
    }
    for (std::size_t i = 0; i < variants.size(); ++i) {
      Report(variants[i].name, events[i]);
    }
  }

  void ReportFigure(const std::string& variant,
                    const std::string& name,
                    double value) override {
    PrintFigure(LabelOf(variant), name, value);
  }

  std::size_t Finish() override {
    TakeLeafLog();
    m_observer->Finish(m_history);
    const auto violations = CheckHistory(m_history);
    PrintFigure(LabelOf("history"), "requests checked",
                static_cast<double>(m_history.callers.size()));
    PrintFigure(LabelOf("history"), "violations",
                static_cast<double>(violations.size()));
    PrintViolations(LabelOf("history"), violations);
    return violations.size();
  }

 private:
  RunLabel LabelOf(const std::string& variant) const {
    return RunLabel{m_case, variant, m_options.seed};
  }

  bool IsInForce(std::uint64_t generation) const {
    for (const Endpoint& daemon : m_fleet->CallerAddresses()) {
      if (GenerationOf(daemon) < generation) {
        return false;
      }
    }
    return true;
  }

  void TakeLeafLog() {
    auto events = m_fleet->TakeLeafLog();
    m_history.leafs.insert(m_history.leafs.end(), events.begin(), events.end());
  }

  // Returns the sends of requests scheduled after the warm-up; adds all sends
  // to the history.
  std::vector<CallerEvent> RunSlice(const std::string& query_prefix,
                                    Duration length,
                                    std::uint64_t seed,
                                    const std::function<void()>& during) {
    LoadOptions options;
    options.daemons = m_fleet->CallerAddresses();
    options.services = m_loads;
    options.seed = seed;
    for (ServiceLoad& load : options.services) {
      load.rate *= m_options.rate;
      load.query_prefix += query_prefix + "-";
    }
    const auto load = LoadGenerator::Create(std::move(options));
    load->Start();
    std::this_thread::sleep_for(kWarmUp);
    const TimePoint from = std::chrono::steady_clock::now();
    if (during) {
      during();
    }
    std::this_thread::sleep_until(from + length);
    load->Stop();
    std::vector<CallerEvent> measured;
    for (CallerEvent& event : load->TakeEvents()) {
      m_history.callers.push_back(event);
      if (event.intended_at >= from) {
        measured.push_back(std::move(event));
      }
    }
    TakeLeafLog();
    return measured;
  }

  void Report(const std::string& variant,
              const std::vector<CallerEvent>& events) {
    PrintReports(LabelOf(variant), Summarize(events));
  }

  std::string m_case;
  BenchOptions m_options;
  std::unique_ptr<Fleet> m_fleet;
  std::vector<ServiceLoad> m_loads;
  History m_history;
  std::unique_ptr<Observer> m_observer;
};

}  // namespace

Result<std::unique_ptr<Trial>> Trial::Start(std::string bench_case,
                                            BenchOptions options,
                                            FleetOptions fleet_options,
                                            std::vector<ServiceLoad> loads) {
  fleet_options.programs = options.programs;
  BOOST_LEAF_AUTO(fleet, Fleet::Start(std::move(fleet_options)));
  fleet->StartAllDaemons();
  if (!fleet->WaitAllReady()) {
    return Fail(fleet->Directory(), "all daemons to become ready within 20 s");
  }
  return std::unique_ptr<Trial>(
      std::make_unique<FleetTrial>(std::move(bench_case), std::move(options),
                                   std::move(fleet), std::move(loads)));
}

}  // namespace bramleyspoke::Harness
