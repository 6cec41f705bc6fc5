#include "fleet.h"

#include <atomic>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fstream>
#include <thread>

#include <csignal>

#include "child_process.h"
#include "fleet_network.h"
#include "operator.h"

namespace bramleyspoke::Harness {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr std::chrono::seconds kStartTimeout{20};
constexpr std::chrono::seconds kStopTimeout{90};

std::string AddressText(const Endpoint& endpoint) {
  return ToString(endpoint);
}

class ProcessFleet final : public Fleet {
 public:
  ProcessFleet(FleetOptions options, std::unique_ptr<FleetNetwork> network)
      : m_options(std::move(options)),
        m_network(std::move(network)),
        m_leafs(MakeLeafs(m_options.deployment, m_network->SecondOctet())),
        m_directory(m_network->Directory()),
        m_daemons(m_options.daemons) {}

  Result<void> StartPlatform() {
    BOOST_LEAF_ASSIGN(m_store, Run("config_store", {"config_store", "--listen",
                                                    AddressText(Store())}));
    BOOST_LEAF_ASSIGN(m_vm_list,
                      Run("vm_list", {"vm_list", "--listen",
                                      AddressText(m_network->VmList())}));
    for (std::size_t i = 0; i < m_options.leaf_processes; ++i) {
      BOOST_LEAF_CHECK(StartLeafs(i));
    }
    const bool is_up =
        WaitUntil([this] { return IsPlatformUp(); }, kStartTimeout);
    if (!is_up) {
      return Fail(m_directory,
                  "all stand-ins to answer within 20 s; see their output in "
                  "this directory");
    }
    Call(m_network->VmList(), "PUT", "/vms", VmListBody());
    const PublishEvent published =
        Publish(MakeManifest(m_options.deployment, m_leafs), std::nullopt);
    if (published.end != PublishEnd::kAccepted) {
      return Fail(m_directory,
                  "the first manifest to be accepted by the store");
    }
    return {};
  }

  const std::vector<LeafPlan>& Leafs() const override { return m_leafs; }
  const Deployment& Plan() const override { return m_options.deployment; }
  Endpoint Store() const override { return m_network->Store(); }

  Endpoint CallerAddress(std::size_t daemon) const override {
    return m_network->Caller(daemon);
  }

  std::vector<Endpoint> CallerAddresses() const override {
    std::vector<Endpoint> addresses;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      addresses.push_back(CallerAddress(i));
    }
    return addresses;
  }

  ChildProcess& Daemon(std::size_t daemon) override {
    return *m_daemons[daemon];
  }

  FleetUsage Usage() const override {
    FleetUsage usage;
    for (const auto& daemon : m_daemons) {
      usage.daemons += daemon->Usage().processor_time;
    }
    for (const auto& process : m_leaf_processes) {
      usage.stand_ins += process->Usage().processor_time;
    }
    return usage;
  }

  const std::string& Directory() const override { return m_directory; }

  void StartDaemon(std::size_t daemon) override {
    const std::string name = "bramleyspoked-" + std::to_string(daemon);
    const std::string settings = m_directory + "/" + name + ".json";
    std::ofstream(settings) << DaemonSettings(daemon);
    auto started = Run(name, {"bramleyspoked", "--settings", settings});
    if (started) {
      m_daemons[daemon] = std::move(started.value());
    }
  }

  void StartAllDaemons() override {
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      StartDaemon(i);
    }
  }

  bool WaitReady(std::size_t daemon) override {
    return WaitUntil(
        [&] {
          return Call(CallerAddress(daemon), "GET", "/ready").status == 200;
        },
        kStartTimeout);
  }

  bool WaitAllReady() override {
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      if (!WaitReady(i)) {
        return false;
      }
    }
    return true;
  }

  void Signal(std::size_t daemon, int signal) override {
    m_daemons[daemon]->Signal(signal);
  }

  void Kill(std::size_t daemon) override {
    m_daemons[daemon]->Signal(SIGKILL);
    m_daemons[daemon]->Wait(kStopTimeout);
  }

  StopEvent Stop(std::size_t daemon) override {
    StopEvent stop;
    stop.daemon = CallerAddress(daemon);
    stop.began_at = std::chrono::steady_clock::now();
    m_daemons[daemon]->Signal(SIGTERM);
    stop.exit_status = m_daemons[daemon]->Wait(kStopTimeout).value_or(-1);
    stop.ended_at = std::chrono::steady_clock::now();
    return stop;
  }

  PublishEvent Publish(const Manifest& manifest,
                       std::optional<std::uint64_t> expected) override {
    PublishOptions options;
    options.publish_id = "publish-" + std::to_string(++m_publishes);
    options.expected_generation = expected;
    return PublishTo(Store(), manifest, options);
  }

  void InjectLeafFault(std::string_view leaf,
                       std::string_view fault,
                       std::string_view value) override {
    std::string body = R"({"leaf":")" + std::string(leaf) + R"(","fault":")" +
                       std::string(fault) + '"';
    body += value.empty() ? "}" : ",\"value\":" + std::string(value) + "}";
    for (std::size_t i = 0; i < m_options.leaf_processes; ++i) {
      Call(m_network->LeafControl(i), "POST", "/fault", body);
    }
  }

  void InjectStoreFault(std::string_view body) override {
    Call(m_network->StoreControl(), "POST", "/fault", body);
  }

  std::vector<LeafEvent> TakeLeafLog() override {
    std::vector<LeafEvent> events;
    for (std::size_t i = 0; i < m_options.leaf_processes; ++i) {
      TakeLeafLogOf(i, events);
    }
    return events;
  }

  std::vector<StoreEvent> ReadStoreHistory() override {
    return ReadHeadHistory(Store());
  }

 private:
  Result<std::unique_ptr<ChildProcess>> Run(
      const std::string& name,
      std::vector<std::string> arguments) {
    arguments[0] = m_options.programs + "/" + arguments[0];
    return ChildProcess::Start(arguments, m_directory + "/" + name + ".log");
  }

  Result<void> StartLeafs(std::size_t process) {
    const std::string name = "backend_server-" + std::to_string(process);
    const std::string file = m_directory + "/" + name + ".json";
    const std::size_t count = m_options.leaf_processes;
    std::ofstream(file) << MakeLeafConfig(
        m_options.deployment, m_leafs, m_leafs.size() * process / count,
        m_leafs.size() * (process + 1) / count,
        m_network->LeafControl(process));
    BOOST_LEAF_AUTO(started, Run(name, {"backend_server", "--config", file}));
    m_leaf_processes.push_back(std::move(started));
    m_log_positions.push_back(1);
    return {};
  }

  bool IsPlatformUp() const {
    for (std::size_t i = 0; i < m_options.leaf_processes; ++i) {
      if (Call(m_network->LeafControl(i), "GET", "/counts").status != 200) {
        return false;
      }
    }
    return Call(m_network->VmList(), "GET", "/vms").status == 200 &&
           IsStoreUp(Store());
  }

  std::string VmListBody() const {
    json::array vms;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      vms.push_back(json::object{{"address", AddressText(m_network->Peer(i))},
                                 {"state", "live"}});
    }
    return json::serialize(vms);
  }

  std::string DaemonSettings(std::size_t daemon) const {
    const Deployment& plan = m_options.deployment;
    const auto region =
        static_cast<std::uint32_t>(daemon % plan.regions.size());
    const auto domain = static_cast<std::uint32_t>(
        daemon / plan.regions.size() % plan.domains_per_region);
    json::array seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(m_daemons.size(), 3);
         ++i) {
      seeds.push_back(json::string(AddressText(m_network->Peer(i))));
    }
    return json::serialize(json::object{
        {"caller_listen", AddressText(CallerAddress(daemon))},
        {"peer_listen", AddressText(m_network->Peer(daemon))},
        {"failure_domain", plan.FailureDomain(region, domain)},
        {"region", plan.regions[region]},
        {"seeds", std::move(seeds)},
        {"store",
         json::object{{"endpoints", json::array{AddressText(Store())}}}},
        {"vm_list", AddressText(m_network->VmList())},
        {"stop",
         json::object{
             {"keep_serving_ms", ToMilliseconds(m_options.keep_serving)},
             {"bound_ms", ToMilliseconds(m_options.stop_bound)}}}});
  }

  void TakeLeafLogOf(std::size_t process, std::vector<LeafEvent>& events) {
    while (true) {
      const std::string target =
          "/log?since=" + std::to_string(m_log_positions[process]);
      const HttpResponse response = Call(m_network->LeafControl(process), "GET",
                                         target, "", std::chrono::seconds(20));
      auto part = ParseLeafLog(response.body);
      if (part.empty()) {
        return;
      }
      m_log_positions[process] = part.back().sequence + 1;
      events.insert(events.end(), std::make_move_iterator(part.begin()),
                    std::make_move_iterator(part.end()));
    }
  }

  FleetOptions m_options;
  std::unique_ptr<FleetNetwork> m_network;
  std::vector<LeafPlan> m_leafs;
  std::string m_directory;
  std::unique_ptr<ChildProcess> m_store;
  std::unique_ptr<ChildProcess> m_vm_list;
  std::vector<std::unique_ptr<ChildProcess>> m_leaf_processes;
  std::vector<std::uint64_t> m_log_positions;
  std::vector<std::unique_ptr<ChildProcess>> m_daemons;
  std::atomic<int> m_publishes = 0;
};

}  // namespace

Result<std::unique_ptr<Fleet>> Fleet::Start(FleetOptions options) {
  BOOST_LEAF_AUTO(network, FleetNetwork::Create());
  auto fleet =
      std::make_unique<ProcessFleet>(std::move(options), std::move(network));
  BOOST_LEAF_CHECK(fleet->StartPlatform());
  return std::unique_ptr<Fleet>(std::move(fleet));
}

HttpResponse Call(const Endpoint& server,
                  std::string_view method,
                  std::string_view target,
                  std::string_view body,
                  Duration timeout) {
  const HttpOutcome outcome = HttpCallAndWait(
      server,
      HttpRequest{
          std::string(method), std::string(target), {}, std::string(body)},
      timeout);
  return outcome.response.value_or(HttpResponse{0, {}, {}, {}});
}

void SleepPollInterval() {
  std::this_thread::sleep_for(kPollInterval);
}

}  // namespace bramleyspoke::Harness
