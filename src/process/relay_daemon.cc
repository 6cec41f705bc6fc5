#include "process/relay_daemon.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include "base/problems.h"
#include "connection/byte_budget.h"
#include "connection/capnp_peers.h"
#include "connection/event_loop.h"
#include "connection/http_server.h"
#include "process/contact_notifier.h"
#include "process/counting_key_value_store.h"
#include "process/crash_reports.h"
#include "process/log.h"
#include "process/peer_followed_store.h"
#include "process/peer_watches.h"
#include "process/relay_control.h"
#include "process/relay_dump.h"
#include "process/relay_front.h"
#include "process/relay_holders.h"
#include "process/relay_log.h"
#include "process/relay_metrics.h"
#include "process/relay_peer_handler.h"
#include "process/relay_stop.h"
#include "process/stop_signal.h"

namespace bramleyspoke {
namespace {

// Lower bound of the time limit for a client to send a whole request.
constexpr std::chrono::seconds kMinRequestTimeout{10};
// A daemon that is not registered by then is taken for one without a store.
constexpr std::chrono::seconds kRegistrationTime{2};
// Routes may be out of date once the store was unreachable for this long.
constexpr std::chrono::milliseconds kStaleAfter{1500};

HttpResponseLimits LimitsOf(const LeafResponseSizes& sizes) {
  HttpResponseLimits limits;
  limits.body_bytes = sizes.max_each;
  limits.budget = std::make_shared<ByteBudget>(sizes.max_total);
  return limits;
}

DaemonEntry OwnEntry(const RelaySettings& settings) {
  return {settings.caller_listen, settings.peer_listen, settings.failure_domain,
          settings.region, settings.processor};
}

class RelayProcess final : public RelayDaemon,
                           public RelayControlListener,
                           public RelayObserver,
                           public RelayPeerHandler,
                           public HttpHandler {
 public:
  RelayProcess(const RelaySettings& settings,
               const RelayAdapters& adapters,
               ReadSettings read_settings)
      : m_settings(settings),
        m_adapters(adapters),
        m_read_settings(std::move(read_settings)),
        m_loop(EventLoop::Create()),
        m_control_loop(EventLoop::Create()),
        m_metrics(RelayMetrics::Create()),
        m_holders(OwnEntry(settings)),
        m_contact_notifier(*m_loop, [this](bool is_cut_off) {
          m_control_loop->Post(
              [this, is_cut_off] { m_control->SetCutOff(is_cut_off); });
        }) {}

  ~RelayProcess() override {
    m_control_loop->Stop();
    if (m_front) {
      m_front->CancelPeerCalls();
    }
    if (m_peers) {
      m_peers->Stop();
    }
  }

  Result<void> Bind() {
    BOOST_LEAF_ASSIGN(m_peers,
                      CapnpPeers::Create(m_settings.peer_listen, *this));
    m_front = std::make_unique<RelayFront>(
        *m_loop, m_adapters.protocol,
        Locality{m_settings.failure_domain, m_settings.region,
                 m_settings.regions},
        m_settings.repeats, LimitsOf(m_settings.leaf_responses),
        m_peers->Network(), *this);
    m_reports = std::make_unique<CrashReports>(*m_loop, m_clock,
                                               m_peers->Network(), Self());
    BOOST_LEAF_ASSIGN(m_callers,
                      HttpServer::Create(*m_loop, m_settings.caller_listen,
                                         HttpServerLimits{}, *m_front));
    m_stop = std::make_unique<RelayStop>(*m_loop, m_settings.stop_bound,
                                         *m_callers, *m_front);
    BOOST_LEAF_CHECK(Listen(m_settings.readiness_listen));
    BOOST_LEAF_CHECK(Listen(m_settings.address_listen));
    if (m_settings.operator_listen) {
      BOOST_LEAF_CHECK(Listen(*m_settings.operator_listen));
    }
    m_peer_watches = std::make_unique<PeerWatches>(*m_control_loop);
    m_store = PeerFollowedStore::Create(
        *m_control_loop,
        CountStoreCalls(
            m_adapters.open_store(*m_control_loop, m_settings.store),
            [this](StoreCallKind kind, KeyValueStatus status) {
              m_loop->Post(
                  [this, kind, status] { m_metrics->Observe(kind, status); });
            }),
        m_peers->Network(), *m_peer_watches);
    m_control = RelayControl::Create(
        *m_control_loop, *m_store, m_adapters.schema,
        RelayControlOptions{m_settings.name, OwnEntry(m_settings),
                            m_settings.apply_bound, OtherSeeds()},
        m_peers->Network(), *this);
    return {};
  }

  bool Run() override {
    m_stop_signal = StopSignal::Create(*m_loop, [this] { BeginStop(); });
    m_reload_signal = ReloadSignal::Create(*m_loop, [this] { Reload(); });
    m_registration_timer = m_loop->At(
        std::chrono::steady_clock::now() + Duration(kRegistrationTime), [this] {
          m_holders.Role().OnRegistrationOverdue();
          UpdateHolders();
        });
    m_control_loop->Post([this] { m_control->Start(); });
    m_control_loop->Start();
    m_peers->Start();
    WriteLog(LogLevel::kInfo, "started",
             {Field("name", m_settings.name),
              Field("callers", ToString(m_settings.caller_listen)),
              Field("region", m_settings.region)});
    m_loop->Run();
    return m_stop->ReportEnd();
  }

  // RelayControlListener, on the control loop.

  void OnTable(std::shared_ptr<const RouteTable> table) override {
    m_version = table->Version();
    m_loop->Post([this, table] {
      HttpServerLimits limits;
      limits.header_bytes = table->Limits().header_bytes;
      limits.body_bytes = table->Limits().body_bytes;
      limits.request_timeout =
          std::max<Duration>(table->Limits().header_time, kMinRequestTimeout);
      limits.idle_timeout = table->Limits().idle_timeout;
      m_callers->SetLimits(limits);
      m_front->SetTable(table);
    });
  }

  void OnLeafs(std::vector<LeafRegistration> leafs) override {
    m_loop->Post([this, leafs = std::move(leafs)] {
      m_front->SetLeafs(leafs);
      m_has_leafs = true;
      if (!leafs.empty()) {
        m_holders.Role().OnLeafsKnown();
      }
      UpdateHolders();
    });
  }

  void OnDaemons(std::vector<DaemonEntry> daemons) override {
    m_loop->Post([this, daemons = std::move(daemons)] {
      m_holders.SetDaemons(daemons);
      UpdateHolders();
    });
  }

  void OnCrashSuspect(const CrashSuspect& suspect) override {
    m_loop->Post([this, suspect] { m_front->OnPeerSuspect(suspect); });
  }

  void OnStoreEra(const StoreEraChange& change) override {
    m_loop->Post([this, change] { m_store_era = change.after; });
  }

  void OnStoreConfirmed(TimePoint at) override {
    m_loop->Post([this, at] { m_front->OnRoutesConfirmed(at); });
  }

  void OnStoreReachability(bool is_reachable) override {
    m_loop->Post([this, is_reachable] {
      m_is_store_reachable = is_reachable;
      m_stale_timer.reset();
      m_front->SetStale(false);
      if (!is_reachable) {
        m_stale_timer =
            m_loop->At(std::chrono::steady_clock::now() + Duration(kStaleAfter),
                       [this] { m_front->SetStale(true); });
      }
    });
  }

  // RelayObserver.

  void OnRequestEnd(const RelayEnd& end) override {
    if (!end.is_for_peer) {
      m_metrics->Observe(end);
    }
    m_log.WriteRequestEnd(end);
  }

  void OnAttemptFailed(std::string_view request_id,
                       const FailedAttempt& send) override {
    m_metrics->Observe(send);
    m_log.WriteFailedAttempt(request_id, send);
  }

  void OnRequestHeld(std::string_view request_id,
                     const HeldRequest& held) override {
    m_log.WriteHeldRequest(request_id, held);
  }

  void OnResponseSkipped(const SkippedResponse& response) override {
    m_metrics->Observe(response);
    m_log.WriteSkippedResponse(response);
  }

  // The caller may resend the request that crashed a leaf to any other holder.
  void OnLeafCrash(const LeafCrash& crash) override { m_reports->Add(crash); }

  void OnCrashEvidence(const CrashEvidenceEvent& event) override {
    m_metrics->Observe(event);
    m_log.WriteCrashEvidence(event);
  }

  void OnLeafNotice(const LeafNotice& notice) override {
    m_metrics->Observe(notice);
    m_log.WriteLeafNotice(notice);
  }

  void OnContactChange(const ContactChange& change) override {
    m_metrics->Observe(change);
    m_log.WriteContactChange(change);
    m_contact_notifier.OnChange(change.state);
  }

  void OnConnectionsSilent() override {
    WriteLog(LogLevel::kWarning, "leaf_connections_silent", {});
  }

  void OnRoutesDoubted() override {
    m_control_loop->Post([this] { m_control->CheckStore(); });
  }

  void OnNewerRoutes(const Endpoint& peer, std::uint64_t version) override {
    m_control_loop->Post([this, peer, version] {
      m_control->OnNewerRoutesAtPeer(peer, version);
    });
  }

  // What a daemon knows ends with its process; the store outlasts it.
  void OnSuspectFound(const CrashSuspect& suspect) override {
    m_control_loop->Post(
        [this, suspect] { m_control->AddCrashSuspect(suspect); });
  }

  // PeerHandler, on the peers' thread. Gossip carries crash evidence.

  void OnGossip(GossipMessage message,
                std::function<void(GossipMessage)> reply) override {
    m_loop->Post([this, evidence = std::move(message.evidence)] {
      for (const EvidenceNotice& notice : evidence) {
        m_front->OnPeerCrash(ReadEvidenceNotice(notice, m_clock.Now()));
      }
    });
    GossipMessage answer;
    answer.sender = Self();
    answer.generation = m_version;
    reply(std::move(answer));
  }
  void OnFetchKnowledge(std::function<void(StoreKnowledge)> reply) override {
    m_control_loop->Post(
        [this, reply = std::move(reply)] { reply(m_control->Knowledge()); });
  }

  void OnWatchStore(const PeerWatch& watch,
                    std::function<void(KeyValueChanges)> reply) override {
    m_control_loop->Post([this, watch, reply = std::move(reply)] {
      m_peer_watches->Watch(watch, reply);
    });
  }

  std::function<void()> OnQueryShards(
      ShardQuery query,
      std::function<void(ShardAnswer)> reply) override {
    auto cancel = std::make_shared<std::function<void()>>();
    m_loop->Post([this, cancel, query = std::move(query),
                  reply = std::move(reply)]() mutable {
      *cancel = m_front->ServePeer(std::move(query), std::move(reply));
    });
    return [this, cancel] { m_loop->Post([cancel] { (*cancel)(); }); };
  }

  // HttpHandler of the readiness, address and operator servers.

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    const HttpRequest& request = exchange->Request();
    if (m_adapters.entry.IsReadinessQuery(request)) {
      exchange->Respond(m_adapters.entry.MakeReadinessAnswer(IsReady()));
      return;
    }
    if (const auto region = m_adapters.entry.ReadAddressQuery(request)) {
      exchange->Respond(m_adapters.entry.MakeAddressAnswer(
          AddressesFor(*region), m_settings.address_time));
      return;
    }
    exchange->Respond(MakeOperatorAnswer(request.target));
  }

 private:
  Result<void> Listen(const Endpoint& address) {
    BOOST_LEAF_AUTO(server, HttpServer::Create(*m_loop, address,
                                               HttpServerLimits{}, *this));
    m_servers.push_back(std::move(server));
    return {};
  }

  MemberUpdate Self() const {
    MemberUpdate self;
    self.address.caller = m_settings.caller_listen;
    self.address.peer = m_settings.peer_listen;
    self.address.failure_domain = m_settings.failure_domain;
    self.address.region = m_settings.region;
    return self;
  }

  std::vector<Endpoint> OtherSeeds() const {
    std::vector<Endpoint> seeds = m_settings.seeds;
    std::erase(seeds, m_settings.peer_listen);
    return seeds;
  }

  std::size_t HolderCount() const {
    return m_front->Engine().Leafs().HolderCount();
  }

  void UpdateHolders() {
    RelayHolders::Fleet fleet = m_holders.Update(HolderCount());
    if (m_holders.Role().IsSettled()) {
      SetStoreRole(fleet);
    }
    m_reports->SetPeers(fleet.PeerAddresses());
    m_front->SetHolders(std::move(fleet.by_region), fleet.is_known,
                        m_holders.Role().IsHolder());
    m_front->SetPeers(fleet.peers);
  }

  void SetStoreRole(const RelayHolders::Fleet& fleet) {
    m_control_loop->Post([this, is_holder = m_holders.Role().IsHolder(),
                          source = m_holders.WatchSourceIn(fleet)] {
      m_control->SetIsHolder(is_holder);
      m_store->SetSource(source);
    });
  }

  bool IsReady() const {
    return m_front->Table() != nullptr && m_has_leafs && !m_stop->IsStopping();
  }

  std::vector<Endpoint> AddressesFor(const std::string& region) const {
    return m_holders.AddressesFor(
        region, HolderCount(), m_front->Engine().Leafs().ServingRegions(),
        {m_contact_notifier.IsCutOff(), m_stop->IsStopping(),
         m_stop->AcceptsRequests(), IsReady()});
  }

  HttpResponse MakeOperatorAnswer(std::string_view target) {
    HttpResponse response;
    if (target == "/metrics") {
      response.content_type = "text/plain; version=0.0.4";
      response.body = m_metrics->Text(Observation());
    } else if (target == "/dump") {
      response.body = MakeRelayDump(
          m_settings.name, Observation(), m_holders.Daemons(),
          m_front->Engine().Leafs(), std::chrono::steady_clock::now());
    } else {
      response.status = 404;
      response.body = "{}";
    }
    return response;
  }

  RelayObservation Observation() const {
    RelayObservation observation;
    observation.version = m_front->Table() ? m_front->Table()->Version() : 0;
    observation.daemons = m_holders.Daemons().size();
    observation.in_flight = m_front->InFlight();
    observation.caller_connections = m_callers->ConnectionCount();
    observation.leaf_connections = m_front->Exchanges().OpenConnections();
    observation.leaf_connections_opened = m_front->Exchanges().Opened();
    observation.leaf_connections_replaced = m_front->Exchanges().Replaced();
    observation.is_store_reachable = m_is_store_reachable;
    observation.store_era = m_store_era;
    observation.routes_unconfirmed =
        m_front->RoutesUnconfirmed(std::chrono::steady_clock::now())
            .value_or(Duration::zero());
    observation.is_ready = IsReady();
    observation.is_stopping = m_stop->IsStopping();
    observation.is_holder = m_front->IsHolder();
    observation.contact = m_front->Engine().Contact();
    observation.by_state = m_front->Engine().Leafs().CountByState(
        std::chrono::steady_clock::now());
    observation.least_budget = m_front->Engine().Leafs().LeastBudget();
    observation.engine = m_front->Engine().Counters();
    return observation;
  }

  void Reload() {
    const auto read = Check(m_read_settings);
    if (!read.value) {
      WriteLog(LogLevel::kError, "reload_refused",
               {Field("problems", ToString(read.problems))});
      return;
    }
    SetLogLevel(read.value->log_level);
    WriteLog(LogLevel::kInfo, "reloaded", {});
  }

  void BeginStop() {
    if (m_stop->IsStopping()) {
      return;
    }
    m_stop->Begin();
    m_control_loop->Post([this] {
      m_control->BeginLeaving();
      m_peer_watches->BeginLeaving();
    });
  }

  const RelaySettings m_settings;
  const RelayAdapters m_adapters;
  const ReadSettings m_read_settings;
  const SteadyClock m_clock;
  const std::unique_ptr<EventLoop> m_loop;
  const std::unique_ptr<EventLoop> m_control_loop;
  const std::unique_ptr<RelayMetrics> m_metrics;
  std::unique_ptr<CapnpPeers> m_peers;
  std::unique_ptr<RelayFront> m_front;
  std::unique_ptr<CrashReports> m_reports;
  RelayLog m_log;
  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<RelayStop> m_stop;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
  std::unique_ptr<PeerWatches> m_peer_watches;
  std::unique_ptr<PeerFollowedStore> m_store;
  std::unique_ptr<RelayControl> m_control;
  /// Version of the newest routes; read on the peers' thread.
  std::atomic<std::uint64_t> m_version = 0;
  bool m_has_leafs = false;
  RelayHolders m_holders;
  ContactNotifier m_contact_notifier;
  bool m_is_store_reachable = false;
  std::uint64_t m_store_era = 0;
  std::unique_ptr<StopSignal> m_stop_signal;
  std::unique_ptr<ReloadSignal> m_reload_signal;
  std::unique_ptr<Timer> m_registration_timer;
  std::unique_ptr<Timer> m_stale_timer;
};

}  // namespace

Result<std::unique_ptr<RelayDaemon>> RelayDaemon::Create(
    const RelaySettings& settings,
    const RelayAdapters& adapters,
    ReadSettings read_settings) {
  auto daemon = std::make_unique<RelayProcess>(settings, adapters,
                                               std::move(read_settings));
  BOOST_LEAF_CHECK(daemon->Bind());
  return std::unique_ptr<RelayDaemon>(std::move(daemon));
}

}  // namespace bramleyspoke
