#include "process/daemon.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <random>
#include <utility>

#include "connection/capnp_peers.h"
#include "connection/etcd_store.h"
#include "connection/event_loop.h"
#include "connection/http_server.h"
#include "connection/http_vm_list.h"
#include "connection/posted_config_store.h"
#include "connection/posted_vm_list.h"
#include "process/caller_api.h"
#include "process/control.h"
#include "process/control_runtime.h"
#include "process/counting_config_store.h"
#include "process/freshness_lease.h"
#include "process/log.h"
#include "process/metrics.h"
#include "process/peer_gateway.h"
#include "process/planned_stop.h"
#include "process/search_router.h"
#include "process/settings.h"
#include "process/stop_signal.h"
#include "process/traffic_threads.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

// Interval at which a planned stop checks for open connections and requests.
constexpr std::chrono::milliseconds kStopCheckInterval{20};

// Share of the time between the end of acceptance and the end of a planned stop
// that is reserved for sending the last answers.
constexpr double kSendingShare = 0.05;

// Start time in milliseconds since the epoch, so that each process at an
// address has a greater number than the one before.
std::uint64_t MakeIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

std::uint64_t MakeSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

DaemonAddress MakeOwnAddress(const Settings& settings) {
  DaemonAddress self;
  self.caller = settings.caller_advertised;
  self.peer = settings.peer_advertised;
  self.incarnation = MakeIncarnation();
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  return self;
}

HttpServerLimits MakeLimits(const Settings& settings) {
  HttpServerLimits limits;
  limits.header_bytes = settings.limits.header_bytes;
  limits.body_bytes = settings.limits.body_bytes;
  limits.connections = settings.limits.connections;
  limits.request_timeout = settings.limits.request_timeout;
  limits.idle_timeout = settings.limits.idle_timeout;
  return limits;
}

PlannedStopOptions MakeStopOptions(const StopSettings& settings) {
  const auto sending = std::chrono::duration_cast<Duration>(
      (settings.bound - settings.keep_serving) * kSendingShare);
  return {settings.keep_serving, settings.bound - sending, settings.bound};
}

json::array MembersJson(const RoutingTable& table) {
  json::array members;
  for (const DaemonAddress& member : table.members) {
    members.push_back(json::object{{"caller", ToString(member.caller)},
                                   {"peer", ToString(member.peer)},
                                   {"incarnation", member.incarnation},
                                   {"failure_domain", member.failure_domain},
                                   {"region", member.region}});
  }
  return members;
}

class DaemonProcess final : public Daemon,
                            public OperatorActions,
                            public ControlListener,
                            public TrafficListener,
                            public RequestObserver {
 public:
  explicit DaemonProcess(const Settings& settings)
      : m_settings(settings),
        m_self(MakeOwnAddress(settings)),
        m_seed(MakeSeed()),
        m_metrics(bramleyspoke::Metrics::Create()),
        m_front_loop(EventLoop::Create()),
        m_platform_loop(EventLoop::Create()),
        m_gateway(*m_front_loop),
        m_stop(MakeStopOptions(settings.stop)) {}

  ~DaemonProcess() override {
    if (m_control) {
      m_control->Stop();
    }
    if (m_peers) {
      m_peers->Stop();
    }
    if (m_traffic) {
      m_traffic->Stop();
    }
    m_platform_loop->Stop();
  }

  Result<void> Bind() {
    BOOST_LEAF_ASSIGN(m_peers,
                      CapnpPeers::Create(m_settings.peer_listen, m_gateway));
    m_store = EtcdStore::Create(*m_platform_loop, m_settings.store.endpoints,
                                m_settings.store.call_timeout);
    m_posted_store =
        std::make_unique<PostedConfigStore>(*m_platform_loop, *m_store);
    m_counting_store =
        std::make_unique<CountingConfigStore>(*m_posted_store, *m_metrics);
    m_vm_list = HttpVmList::Create(*m_platform_loop, m_settings.vm_list);
    m_posted_vm_list =
        std::make_unique<PostedVmList>(*m_platform_loop, *m_vm_list);
    m_runtime = ControlRuntime::Create();
    ControlOptions options;
    options.self = m_self;
    options.seeds = m_settings.seeds;
    options.seed = m_seed;
    BOOST_LEAF_ASSIGN(
        m_control,
        Control::Create(options, *m_runtime, *m_counting_store,
                        *m_posted_vm_list, m_peers->Network(), *this));
    CreateTraffic();
    BOOST_LEAF_ASSIGN(
        m_server, HttpServer::Create(*m_front_loop, m_settings.caller_listen,
                                     MakeLimits(m_settings), *m_api));
    return {};
  }

  bool Run() override {
    m_stop_signal = StopSignal::Create(*m_front_loop, [this] { BeginStop(); });
    m_gateway.Open(*m_control, *m_router);
    m_platform_loop->Start();
    m_peers->Start();
    m_control->Start();
    WriteLog(LogLevel::kInfo, "started",
             {Field("caller", ToString(m_self.caller)),
              Field("peer", ToString(m_self.peer)),
              Field("incarnation", m_self.incarnation)});
    m_front_loop->Run();
    WriteLog(LogLevel::kInfo, "stopped",
             {Field("cut_off", m_stop.HasInterruptedRequests())});
    return !m_stop.HasInterruptedRequests();
  }

  // OperatorActions, on the front thread.

  void Dump(std::function<void(std::string)> done) override {
    m_traffic->DumpJson([this, done](std::vector<std::string> threads) {
      m_control->DumpJson([this, done, threads](const std::string& control) {
        m_front_loop->Post([this, done, threads, control] {
          done(MakeDump(threads, control));
        });
      });
    });
  }

  std::string Status() override {
    const RoutingTable& table = m_router->Table();
    return json::serialize(
        json::object{{"address", ToString(m_self.caller)},
                     {"peer", ToString(m_self.peer)},
                     {"incarnation", m_self.incarnation},
                     {"generation", table.generation},
                     {"confirmed", table.is_confirmed},
                     {"ready", IsReady()},
                     {"stopping", IsStopping()},
                     {"failure_domain", m_self.failure_domain},
                     {"region", m_self.region},
                     {"in_flight", m_router->InFlight()},
                     {"members", MembersJson(table)}});
  }

  std::string Metrics() override {
    const RoutingTable& table = m_router->Table();
    ControlObservation control;
    control.generation = table.generation;
    control.manifest_age = m_manifest_age;
    control.is_confirmed = table.is_confirmed;
    control.is_ready = IsReady();
    control.is_stopping = IsStopping();
    control.members = table.members.size();
    m_metrics->Observe(control);
    m_metrics->SetConnections(ConnectionKind::kCaller,
                              m_server->ConnectionCount());
    return m_metrics->Text();
  }

  bool IsReady() const override {
    return m_lease.IsValid(m_clock.Now()) && !IsStopping() &&
           m_router->Table().generation > 0;
  }

  bool IsStopping() const override { return m_stop.IsStopping(); }

  void BeginStop() override {
    if (IsStopping()) {
      return;
    }
    WriteLog(LogLevel::kInfo, "stop_begun", {});
    m_stop.Begin(m_clock.Now());
    m_router->BeginLeaving(m_stop.Schedule().answer_all_by);
    m_control->BeginLeaving();
    CheckStop();
  }

  bool SetLogLevel(const std::string& name) override {
    const auto level = ParseLogLevel(name);
    if (level) {
      bramleyspoke::SetLogLevel(*level);
    }
    return level.has_value();
  }

  // ControlListener, on the control thread.

  void OnRoutingTable(std::shared_ptr<const RoutingTable> table) override {
    m_traffic->SetTable(table);
    m_front_loop->Post([this, table] { m_router->SetTable(table); });
  }

  void OnHeartbeat(TimePoint now) override { m_lease.Renew(now); }

  void OnManifestAge(Duration age) override { m_manifest_age = age; }

  void OnEvidence(const EvidenceNotice& evidence) override {
    m_traffic->OnPeerEvidence(evidence);
  }

  void OnDrain(const DrainNotice& drain) override {
    m_traffic->OnPeerDrain(drain);
  }

  // TrafficListener, on the traffic threads.

  void OnLocalEvidence(EvidenceNotice evidence) override {
    WriteLog(LogLevel::kWarning, "crash_evidence",
             {Field("service", evidence.service),
              Field("crashes", evidence.crashes)});
    m_control->PublishEvidence(std::move(evidence));
  }

  void OnLocalDrain(DrainNotice drain) override {
    m_control->PublishDrain(std::move(drain));
  }

  void OnServiceLoad(const ServiceObservation& load) override {
    m_metrics->Observe(load);
  }

  void OnLeafConnections(std::uint64_t open) override {
    m_metrics->SetConnections(ConnectionKind::kLeaf, open);
  }

  // RequestObserver, on the front thread.

  void OnForward(ForwardResult result) override {
    m_metrics->CountForward(result);
  }

  void OnRequestEnd(const CallerSearch& search,
                    const RequestEnd& end) override {
    SearchObservation observation;
    const bool is_known = m_router->Table().services.contains(search.service);
    observation.service = is_known ? search.service : std::string_view();
    observation.verdict = end.verdict;
    observation.reason = end.reason;
    observation.latency = end.taken;
    if (end.outcome) {
      observation.attempts = end.outcome->attempts;
      observation.needed = end.outcome->needed;
    }
    if (end.outcome && end.outcome->answer) {
      observation.coverage = end.outcome->answer->coverage;
    }
    m_metrics->Observe(observation);
    const LogLevel level = end.reason ? LogLevel::kInfo : LogLevel::kDebug;
    if (!IsLogged(level)) {
      return;
    }
    WriteLog(level, "request_end",
             {Field("request_id", search.request_id),
              Field("service", search.service), Field("caller", search.caller),
              Field("verdict", ToString(end.verdict)),
              Field("reason", end.reason ? ToString(*end.reason) : ""),
              Field("status", end.status),
              Field("taken_ms", ToMilliseconds(end.taken))});
  }

 private:
  void CreateTraffic() {
    TrafficOptions options;
    options.threads = m_settings.traffic_threads;
    options.attempt_prefix =
        ToString(m_self.peer) + "/" + std::to_string(m_self.incarnation);
    options.seed = m_seed;
    options.engine_options.region = m_self.region;
    m_traffic =
        TrafficThreads::Create(options, *m_front_loop, m_clock, m_lease, *this);
    m_router = std::make_unique<SearchRouter>(RouterContext{
        *m_front_loop, m_clock, m_lease, m_peers->Network(), *m_traffic, *this,
        m_self, m_settings.limits.queries_in_flight, m_seed});
    m_api = std::make_unique<CallerApi>(*m_router, *this);
  }

  std::string MakeDump(const std::vector<std::string>& threads,
                       const std::string& control) {
    std::string text = "{\"status\":" + Status();
    text += ",\"remembered_ids\":" + std::to_string(m_router->RememberedIds());
    text += ",\"connections\":" + std::to_string(m_server->ConnectionCount());
    text += ",\"control\":" + control + ",\"traffic\":[";
    for (std::size_t index = 0; index < threads.size(); ++index) {
      text += (index > 0 ? "," : "") + threads[index];
    }
    return text + "]}";
  }

  void CheckStop() {
    const std::size_t remaining =
        m_server->ConnectionCount() + m_router->InFlight();
    const StopStep before = m_stop.Step();
    const StopStep step = m_stop.Update(remaining, m_clock.Now());
    if (step == StopStep::kDone) {
      m_front_loop->Stop();
      return;
    }
    if (step == StopStep::kFinishing && before != step) {
      m_server->BeginShutdown();
    }
    if (step == StopStep::kSending && before != step) {
      m_router->EndAll();
      m_server->RefuseUnread();
    }
    m_stop_timer = m_front_loop->At(m_clock.Now() + kStopCheckInterval,
                                    [this] { CheckStop(); });
  }

  const Settings m_settings;
  const DaemonAddress m_self;
  const std::uint64_t m_seed;
  const std::unique_ptr<bramleyspoke::Metrics> m_metrics;
  std::atomic<Duration> m_manifest_age = Duration::zero();
  SteadyClock m_clock;
  FreshnessLease m_lease;
  /// Loop of the front thread, which serves callers' and operators' requests.
  std::unique_ptr<EventLoop> m_front_loop;
  std::unique_ptr<EventLoop> m_platform_loop;
  PeerGateway m_gateway;
  PlannedStop m_stop;
  std::unique_ptr<Timer> m_stop_timer;
  std::unique_ptr<StopSignal> m_stop_signal;
  std::unique_ptr<ConfigStore> m_store;
  /// For the control thread, as the store is used on the platform loop.
  std::unique_ptr<PostedConfigStore> m_posted_store;
  std::unique_ptr<CountingConfigStore> m_counting_store;
  std::unique_ptr<VmList> m_vm_list;
  std::unique_ptr<PostedVmList> m_posted_vm_list;
  std::unique_ptr<ControlRuntime> m_runtime;
  std::unique_ptr<CapnpPeers> m_peers;
  std::unique_ptr<Control> m_control;
  std::unique_ptr<TrafficThreads> m_traffic;
  std::unique_ptr<SearchRouter> m_router;
  std::unique_ptr<CallerApi> m_api;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace

Result<std::unique_ptr<Daemon>> Daemon::Create(const Settings& settings) {
  auto daemon = std::make_unique<DaemonProcess>(settings);
  BOOST_LEAF_CHECK(daemon->Bind());
  return std::unique_ptr<Daemon>(std::move(daemon));
}

}  // namespace bramleyspoke
