#include "process/traffic_threads.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "connection/event_loop.h"
#include "connection/leaf_pool.h"
#include "process/freshness_lease.h"
#include "process/service_runner.h"

namespace bramleyspoke {
namespace {

// Interval of reports to the listener: crash evidence, drain notices and load.
constexpr std::chrono::milliseconds kReportInterval{200};
// Retry delay for a request whose service has moved to another daemon.
constexpr std::chrono::milliseconds kServiceMovedRetryAfter{200};

// Limit of connections from this daemon to one leaf. All holders share the
// leaf's connections; one further share is for a daemon that takes over while
// the previous holder still serves.
std::uint32_t ConnectionShare(const ServiceRoute& route) {
  const auto holders = static_cast<std::uint32_t>(route.holders.size());
  return std::max(1U, route.spec.connections / (holders + 1));
}

// One traffic thread with its assigned services.
class TrafficThread {
 public:
  TrafficThread(const TrafficOptions& options,
                std::size_t index,
                const Clock& clock,
                const FreshnessLease& lease,
                TrafficListener& listener,
                std::atomic<std::uint64_t>& leaf_connections)
      : m_prefix(options.attempt_prefix + "." + std::to_string(index)),
        m_seed(options.seed + index),
        m_clock(clock),
        m_listener(listener),
        m_leaf_connections(leaf_connections),
        m_loop(EventLoop::Create()),
        m_pool(LeafPool::Create(*m_loop, LeafPoolOptions{})),
        m_context(RunnerContext{*m_loop, *m_pool, clock, lease,
                                options.engine_options}) {
    m_loop->Post([this] { ArmReportTimer(); });
    m_loop->Start();
  }

  ~TrafficThread() { m_loop->Stop(); }

  EventLoop& Loop() { return *m_loop; }

  void Submit(QueryNumber query,
              SearchRequest request,
              SearchExecutor::Done done) {
    const auto found = m_runners.find(request.service);
    if (found == m_runners.end()) {
      SearchOutcome outcome;
      outcome.refusal =
          Refusal{RefusalReason::kHolderUnreachable, Verdict::kNotRun,
                  "the service moved away", kServiceMovedRetryAfter};
      done(std::move(outcome));
      return;
    }
    found->second->Submit(query, std::move(request), std::move(done));
  }

  void OnCallerDisconnected(const std::string& service, QueryNumber query) {
    const auto found = m_runners.find(service);
    if (found != m_runners.end()) {
      found->second->OnCallerDisconnected(query);
    }
  }

  void SetRoutes(
      const std::vector<std::shared_ptr<const ServiceRoute>>& routes) {
    std::set<std::string> held;
    for (const auto& route : routes) {
      held.insert(route->spec.name);
      SetConnectionLimits(*route);
      const auto found = m_runners.find(route->spec.name);
      if (found != m_runners.end()) {
        found->second->SetRoute(route);
        continue;
      }
      AddRunner(route);
    }
    m_retired_services.clear();
    for (const auto& [name, runner] : m_runners) {
      if (!held.contains(name)) {
        m_retired_services.insert(name);
      }
    }
    RemoveRetiredServices();
    CloseUnusedConnections();
  }

  void OnPeerEvidence(const EvidenceNotice& evidence) {
    const auto found = m_runners.find(evidence.service);
    if (found != m_runners.end()) {
      found->second->OnPeerEvidence(
          CrashEvidence{evidence.fingerprint, evidence.crashes});
    }
  }

  void OnPeerDrain(const DrainNotice& drain) {
    for (const auto& [name, runner] : m_runners) {
      runner->OnPeerDrain(drain);
    }
  }

  std::string DumpJson() const {
    std::string text = "{\"services\":{";
    const TimePoint now = m_clock.Now();
    const char* separator = "";
    for (const auto& [name, runner] : m_runners) {
      text += separator;
      text += "\"" + name + "\":" + runner->Engine().DumpJson(now);
      separator = ",";
    }
    return text + "},\"leaf_pool\":" + m_pool->DumpJson() + "}";
  }

 private:
  void AddRunner(const std::shared_ptr<const ServiceRoute>& route) {
    const std::string& name = route->spec.name;
    const std::string prefix = m_prefix + "." + std::to_string(++m_last_runner);
    auto runner = ServiceRunner::Create(
        m_context, route, prefix, m_seed ^ std::hash<std::string>()(name));
    runner->Start();
    m_runners.emplace(name, std::move(runner));
  }

  // Closes the connections to leafs that no service of this thread uses.
  void CloseUnusedConnections() {
    std::set<Endpoint> used;
    for (const auto& [name, runner] : m_runners) {
      const std::set<Endpoint> leafs = LeafsOf(runner->Route());
      used.insert(leafs.begin(), leafs.end());
    }
    for (const Endpoint& leaf : m_leafs) {
      if (!used.contains(leaf)) {
        m_pool->KeepOpen(leaf, 0);
        m_pool->SetConnectionLimit(leaf, 0);
      }
    }
    m_leafs = std::move(used);
  }

  void SetConnectionLimits(const ServiceRoute& route) {
    const std::uint32_t share = ConnectionShare(route);
    const std::uint32_t pool_size = std::min(share, route.spec.slots + 1);
    for (const Layout& layout : route.spec.layouts) {
      for (const Shard& shard : layout.shards) {
        for (const Replica& replica : shard.replicas) {
          m_pool->SetConnectionLimit(replica.leaf, share);
          m_pool->KeepOpen(replica.leaf, pool_size);
        }
      }
    }
  }

  // Removes services that this daemon no longer holds once their last query has
  // ended.
  void RemoveRetiredServices() {
    for (auto name = m_retired_services.begin();
         name != m_retired_services.end();) {
      const auto found = m_runners.find(*name);
      if (found != m_runners.end() && found->second->Engine().InFlight() > 0) {
        ++name;
        continue;
      }
      m_listener.OnServiceLoad(ServiceObservation{*name, 0, 0});
      m_runners.erase(*name);
      name = m_retired_services.erase(name);
    }
  }

  void ArmReportTimer() {
    m_report_timer = m_loop->At(m_clock.Now() + kReportInterval, [this] {
      ReportNotices();
      ReportLoad();
      RemoveRetiredServices();
      ArmReportTimer();
    });
  }

  void ReportNotices() {
    for (const auto& [name, runner] : m_runners) {
      for (const CrashEvidence& evidence : runner->Engine().TakeEvidence()) {
        m_listener.OnLocalEvidence(
            EvidenceNotice{name, evidence.fingerprint, evidence.crashes});
      }
      for (DrainNotice& drain : runner->Engine().TakeDrains()) {
        m_listener.OnLocalDrain(std::move(drain));
      }
    }
  }

  void ReportLoad() {
    for (const auto& [name, runner] : m_runners) {
      const QueryEngine& engine = runner->Engine();
      m_listener.OnServiceLoad(
          ServiceObservation{name, engine.Waiting(), engine.InFlight()});
    }
    const std::uint64_t open = m_pool->Counters().open;
    // The difference may wrap around; adding it modulo 2^64 is still correct.
    const std::uint64_t change = open - m_reported_connections;
    m_reported_connections = open;
    m_listener.OnLeafConnections(m_leaf_connections += change);
  }

  std::string m_prefix;
  std::uint64_t m_seed;
  const Clock& m_clock;
  TrafficListener& m_listener;
  // Total over all threads.
  std::atomic<std::uint64_t>& m_leaf_connections;
  // This thread's contribution to the total.
  std::uint64_t m_reported_connections = 0;
  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<LeafPool> m_pool;
  RunnerContext m_context;
  std::map<std::string, std::shared_ptr<ServiceRunner>> m_runners;
  std::set<std::string> m_retired_services;
  std::set<Endpoint> m_leafs;
  std::uint64_t m_last_runner = 0;
  std::unique_ptr<Timer> m_report_timer;
};

class TrafficThreadsImpl final : public TrafficThreads {
 public:
  TrafficThreadsImpl(const TrafficOptions& options,
                     EventLoop& front,
                     const Clock& clock,
                     const FreshnessLease& lease,
                     TrafficListener& listener)
      : m_front(front) {
    for (std::size_t index = 0; index < options.threads; ++index) {
      m_threads.push_back(std::make_unique<TrafficThread>(
          options, index, clock, lease, listener, m_leaf_connections));
    }
  }

  void Execute(QueryNumber query, SearchRequest request, Done done) override {
    TrafficThread& thread = ThreadOf(request.service);
    auto reply = [this, done = std::move(done)](SearchOutcome outcome) {
      m_front.Post([done, outcome = std::move(outcome)]() mutable {
        done(std::move(outcome));
      });
    };
    thread.Loop().Post([&thread, query, request = std::move(request),
                        reply = std::move(reply)]() mutable {
      thread.Submit(query, std::move(request), std::move(reply));
    });
  }

  void OnCallerDisconnected(const std::string& service,
                            QueryNumber query) override {
    TrafficThread& thread = ThreadOf(service);
    thread.Loop().Post([&thread, service, query] {
      thread.OnCallerDisconnected(service, query);
    });
  }

  void SetTable(std::shared_ptr<const RoutingTable> table) override {
    std::map<TrafficThread*, std::vector<std::shared_ptr<const ServiceRoute>>>
        routes;
    for (const auto& thread : m_threads) {
      routes[thread.get()];
    }
    for (const auto& [name, route] : table->services) {
      if (route->is_held_here) {
        routes[&ThreadOf(name)].push_back(route);
      }
    }
    for (auto& [thread, held] : routes) {
      thread->Loop().Post([thread = thread, held = std::move(held)] {
        thread->SetRoutes(held);
      });
    }
  }

  void OnPeerEvidence(const EvidenceNotice& evidence) override {
    TrafficThread& thread = ThreadOf(evidence.service);
    thread.Loop().Post(
        [&thread, evidence] { thread.OnPeerEvidence(evidence); });
  }

  void OnPeerDrain(const DrainNotice& drain) override {
    for (const auto& thread : m_threads) {
      thread->Loop().Post(
          [thread = thread.get(), drain] { thread->OnPeerDrain(drain); });
    }
  }

  void DumpJson(std::function<void(std::vector<std::string>)> done) override {
    auto dump = std::make_shared<Dump>();
    dump->texts.resize(m_threads.size());
    dump->left = m_threads.size();
    dump->done = std::move(done);
    for (std::size_t index = 0; index < m_threads.size(); ++index) {
      TrafficThread* thread = m_threads[index].get();
      thread->Loop().Post([thread, index, dump] {
        dump->texts[index] = thread->DumpJson();
        if (--dump->left == 0) {
          dump->done(std::move(dump->texts));
        }
      });
    }
  }

  void Stop() override { m_threads.clear(); }

 private:
  // A dump in progress; each thread fills in the text at its index.
  struct Dump {
    std::vector<std::string> texts;
    std::atomic<std::size_t> left = 0;
    std::function<void(std::vector<std::string>)> done;
  };

  TrafficThread& ThreadOf(const std::string& service) {
    const std::size_t index =
        std::hash<std::string>()(service) % m_threads.size();
    return *m_threads[index];
  }

  EventLoop& m_front;
  std::atomic<std::uint64_t> m_leaf_connections = 0;
  std::vector<std::unique_ptr<TrafficThread>> m_threads;
};

}  // namespace

std::unique_ptr<TrafficThreads> TrafficThreads::Create(
    TrafficOptions options,
    EventLoop& front,
    const Clock& clock,
    const FreshnessLease& lease,
    TrafficListener& listener) {
  return std::make_unique<TrafficThreadsImpl>(options, front, clock, lease,
                                              listener);
}

}  // namespace bramleyspoke
