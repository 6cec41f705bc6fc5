#include "stand_in/leaf.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

#include "connection/event_loop.h"
#include "connection/http_server.h"
#include "connection/leaf_message.h"
#include "stand_in/delayed_calls.h"
#include "stand_in/freeze_gate.h"
#include "stand_in/json_response.h"
#include "stand_in/leaf_answer.h"
#include "stand_in/leaf_faults.h"
#include "stand_in/leaf_report.h"
#include "stand_in/service_time.h"

namespace bramleyspoke::StandIn {
namespace {

constexpr Duration kIdleTime = std::chrono::minutes(10);

// An attempt from its arrival to its response.
struct Work {
  std::shared_ptr<HttpExchange> exchange;
  Attempt attempt;
  bool is_running = false;
  std::unique_ptr<Timer> timer;
};

using WorkPtr = std::shared_ptr<Work>;

class LeafImpl final : public Leaf, public HttpHandler {
 public:
  LeafImpl(EventLoop& loop, ExecutionLog& log, LeafConfig config)
      : m_loop(loop),
        m_log(log),
        m_config(std::move(config)),
        m_time(m_config, m_faults),
        m_report(m_config, m_faults),
        m_calls(loop),
        m_gate(loop),
        m_address(m_config.listen) {}

  // Attempts and their timers own each other; this breaks the cycle.
  ~LeafImpl() override {
    for (const auto& [id, work] : m_work) {
      work->timer = nullptr;
    }
  }

  Result<void> Listen() {
    HttpServerLimits limits;
    limits.connections = m_config.connections;
    limits.accept_delay = m_config.new_connection;
    limits.idle_time = kIdleTime;
    BOOST_LEAF_ASSIGN(m_server,
                      HttpServer::Create(m_loop, m_address, limits, *this));
    m_address = m_server->Address();
    m_name = ToString(m_address);
    const TimePoint now = Now();
    m_time.Start(now);
    m_incarnation = m_name + "#" + std::to_string(m_counts.crashes) + "-" +
                    std::to_string(now.time_since_epoch().count());
    return {};
  }

  Endpoint Address() const override { return m_address; }

  LeafCounts Counts() const override {
    LeafCounts counts = m_counts;
    counts.leaf = m_address;
    counts.connections =
        m_server ? static_cast<std::uint32_t>(m_server->ConnectionCount()) : 0;
    return counts;
  }

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    m_counts.connections_max =
        std::max(m_counts.connections_max,
                 static_cast<std::uint32_t>(m_server->ConnectionCount()));
    m_gate.Pass([this, exchange = std::move(exchange)] { Route(exchange); });
  }

  void Apply(const LeafFault& fault) override;

 private:
  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  void Route(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string& target = exchange->Request().target;
    if (target == "/search") {
      Receive(exchange);
    } else if (target == "/cancel") {
      Cancel(ParseCancelledId(exchange->Request().body));
      exchange->Respond(JsonResponse(200));
    } else if (target == "/status") {
      exchange->Respond(JsonResponse(200, StatusBody()));
    } else {
      exchange->Respond(JsonResponse(404));
    }
  }

  void Receive(const std::shared_ptr<HttpExchange>& exchange) {
    std::optional<Attempt> attempt =
        ParseAttempt(exchange->Request().body, Now());
    if (!attempt) {
      exchange->Respond(JsonResponse(400));
      return;
    }
    ++m_counts.received;
    const auto work = std::make_shared<Work>();
    work->exchange = exchange;
    work->attempt = std::move(*attempt);
    m_log.Add(m_name, ExecutionEvent::kReceived, work->attempt);
    const LeafReason reason = ReasonToRefuse(work->attempt);
    if (reason != LeafReason::kNone) {
      Refuse(*work, reason);
      return;
    }
    m_work[work->attempt.attempt_id] = work;
    m_queue.push_back(work);
    StartNext();
  }

  LeafReason ReasonToRefuse(const Attempt& attempt) {
    if (m_faults.Refusal() != LeafReason::kNone) {
      return m_faults.Refusal();
    }
    if (m_is_draining && m_refuses_when_draining) {
      return LeafReason::kDraining;
    }
    if (!m_config.Serves(attempt)) {
      return LeafReason::kVersionMissing;
    }
    if (m_time.Fraction() < m_faults.ShedShare()) {
      return LeafReason::kShed;
    }
    if (m_running >= m_config.slots && m_queue.size() >= m_config.queue) {
      return LeafReason::kNoSlot;
    }
    const TimePoint now = Now();
    if (now + m_time.Expected(now, m_running, m_queue.size()) >
        attempt.deadline) {
      return LeafReason::kDeadline;
    }
    return LeafReason::kNone;
  }

  void StartNext() {
    while (m_running < m_config.slots && !m_queue.empty()) {
      const WorkPtr work = m_queue.front();
      m_queue.pop_front();
      if (Now() >= work->attempt.deadline) {
        m_work.erase(work->attempt.attempt_id);
        Refuse(*work, LeafReason::kDeadline);
        continue;
      }
      Start(work);
      if (m_server == nullptr) {
        return;
      }
    }
  }

  void Start(const WorkPtr& work) {
    work->is_running = true;
    ++m_running;
    ++m_counts.started;
    m_counts.concurrent_max = std::max(m_counts.concurrent_max, m_running);
    m_log.Add(m_name, ExecutionEvent::kStarted, work->attempt);
    if (m_faults.Crashes(work->attempt.query)) {
      Crash(m_faults.CrashTime());
      return;
    }
    work->timer = m_loop.At(Now() + m_time.Next(Now()), [this, work] {
      m_gate.Pass([this, work] { Finish(work); });
    });
  }

  void Finish(const WorkPtr& work) {
    if (!work->is_running) {
      return;
    }
    Release(*work);
    ++m_counts.finished;
    m_log.Add(m_name, ExecutionEvent::kFinished, work->attempt);
    const Duration delay = m_config.latency + m_faults.TakeDelay();
    if (delay == Duration::zero()) {
      Answer(*work);
    } else {
      AnswerLater(work, delay);
    }
    StartNext();
  }

  // A crash during `delay` discards the response.
  void AnswerLater(const WorkPtr& work, Duration delay) {
    m_leaving[work->attempt.attempt_id] = work;
    m_calls.After(delay, [this, work] {
      m_gate.Pass([this, work] {
        if (m_leaving.erase(work->attempt.attempt_id) > 0) {
          Answer(*work);
        }
      });
    });
  }

  void Release(Work& work) {
    work.is_running = false;
    work.timer = nullptr;
    m_work.erase(work.attempt.attempt_id);
    --m_running;
  }

  void Answer(const Work& work) {
    AttemptOutcome outcome = Word();
    outcome.result = AttemptResult::kAnswered;
    outcome.hits = MakeHits(work.attempt, m_config.hits);
    outcome.covered = m_faults.Covered();
    SendAnswer(m_calls, work.exchange, work.attempt, outcome,
               m_faults.TakeSpoil());
  }

  void Refuse(const Work& work, LeafReason reason) {
    ++m_counts.refused;
    m_log.Add(m_name, ExecutionEvent::kRefused, work.attempt);
    SendRefusal(work, reason, Verdict::kNotRun);
  }

  void SendRefusal(const Work& work, LeafReason reason, Verdict verdict) {
    AttemptOutcome outcome = Word();
    outcome.result = AttemptResult::kRefused;
    outcome.reason = reason;
    outcome.verdict = verdict;
    work.exchange->Respond(
        JsonResponse(StatusOf(reason), EncodeOutcome(work.attempt, outcome)));
  }

  // An outcome with the leaf's state, which every response reports.
  AttemptOutcome Word() {
    AttemptOutcome outcome;
    outcome.draining = m_is_draining;
    outcome.reported_load = ReportedLoad();
    outcome.incarnation = m_incarnation;
    return outcome;
  }

  double ReportedLoad() {
    return m_report.Load(Now(), m_running + m_queue.size());
  }

  std::string StatusBody() {
    return m_report.Status(Now(), LeafStatus{m_config.versions, m_is_draining,
                                             ReportedLoad(), m_incarnation});
  }

  void Cancel(const std::string& attempt_id) {
    const auto found = m_work.find(attempt_id);
    if (found == m_work.end()) {
      return;
    }
    const WorkPtr work = found->second;
    ++m_counts.cancelled;
    m_log.Add(m_name, ExecutionEvent::kCancelled, work->attempt);
    if (work->is_running) {
      Release(*work);
      SendRefusal(*work, LeafReason::kCancelled, Verdict::kMayHaveRun);
    } else {
      m_work.erase(found);
      m_queue.erase(std::find(m_queue.begin(), m_queue.end(), work));
      SendRefusal(*work, LeafReason::kCancelled, Verdict::kNotRun);
    }
    StartNext();
  }

  void Crash(Duration down_time);
  void Restart();
  void SetDraining(bool is_draining, bool refuses);

  EventLoop& m_loop;
  ExecutionLog& m_log;
  LeafConfig m_config;
  LeafFaults m_faults;
  ServiceTime m_time;
  LeafReport m_report;
  DelayedCalls m_calls;
  FreezeGate m_gate;
  Endpoint m_address;
  std::string m_name;
  std::string m_incarnation;
  std::unique_ptr<HttpServer> m_server;
  LeafCounts m_counts;

  std::uint32_t m_running = 0;
  std::deque<WorkPtr> m_queue;
  // Queued and running attempts.
  std::unordered_map<std::string, WorkPtr> m_work;
  // Finished attempts whose response is delayed.
  std::unordered_map<std::string, WorkPtr> m_leaving;

  bool m_is_draining = false;
  bool m_refuses_when_draining = false;
  std::unique_ptr<Timer> m_restart_timer;
};

void LeafImpl::Crash(Duration down_time) {
  if (m_server == nullptr) {
    return;
  }
  ++m_counts.crashes;
  for (const auto& [id, work] : m_work) {
    work->is_running = false;
    work->timer = nullptr;
    m_log.Add(m_name, ExecutionEvent::kCrashed, work->attempt);
  }
  m_work.clear();
  m_leaving.clear();
  m_queue.clear();
  m_gate.Drop();
  m_running = 0;
  m_server->AbortAll();
  m_server = nullptr;
  m_restart_timer = nullptr;
  if (down_time > Duration::zero()) {
    m_restart_timer = m_loop.At(Now() + down_time, [this] { Restart(); });
  }
}

void LeafImpl::Restart() {
  if (m_server != nullptr) {
    Crash(Duration::zero());
  }
  m_report.Reset();
  SetDraining(false, false);
  if (!Listen()) {
    m_restart_timer =
        m_loop.At(Now() + std::chrono::milliseconds(10), [this] { Restart(); });
  }
}

void LeafImpl::SetDraining(bool is_draining, bool refuses) {
  m_is_draining = is_draining;
  m_refuses_when_draining = refuses;
}

void LeafImpl::Apply(const LeafFault& fault) {
  m_faults.Apply(fault);
  switch (fault.kind) {
    case LeafFaultKind::kNone:
      m_gate.Thaw();
      break;
    case LeafFaultKind::kFreeze:
      m_gate.Freeze(Milliseconds(fault.number));
      break;
    case LeafFaultKind::kCrash:
      Crash(Milliseconds(fault.number));
      break;
    case LeafFaultKind::kRestart:
      Restart();
      break;
    case LeafFaultKind::kDrain:
      SetDraining(true, fault.number > 0);
      break;
    case LeafFaultKind::kUndrain:
      SetDraining(false, false);
      break;
    case LeafFaultKind::kSetVersions:
      m_config.versions = fault.versions;
      break;
    case LeafFaultKind::kSetShards:
      m_config.shards = fault.shards;
      break;
    default:
      break;
  }
}

}  // namespace

Result<std::unique_ptr<Leaf>> Leaf::Create(EventLoop& loop,
                                           ExecutionLog& log,
                                           LeafConfig config) {
  auto leaf = std::make_unique<LeafImpl>(loop, log, std::move(config));
  BOOST_LEAF_CHECK(leaf->Listen());
  return std::unique_ptr<Leaf>(std::move(leaf));
}

}  // namespace bramleyspoke::StandIn
