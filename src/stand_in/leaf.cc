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

constexpr Duration kIdleTimeout = std::chrono::minutes(10);

// An attempt from its arrival to its response.
struct PendingAttempt {
  std::shared_ptr<HttpExchange> exchange;
  Attempt attempt;
  bool is_running = false;
  std::unique_ptr<Timer> timer;
};

using PendingAttemptPtr = std::shared_ptr<PendingAttempt>;

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
    for (const auto& [id, pending] : m_pending) {
      pending->timer = nullptr;
    }
  }

  Result<void> Listen() {
    HttpServerLimits limits;
    limits.connections = m_config.connections;
    limits.accept_delay = m_config.new_connection;
    limits.idle_timeout = kIdleTimeout;
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
    m_gate.RunOrQueue(
        [this, exchange = std::move(exchange)] { Route(exchange); });
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
    const auto pending = std::make_shared<PendingAttempt>();
    pending->exchange = exchange;
    pending->attempt = std::move(*attempt);
    m_log.Add(m_name, ExecutionEvent::kReceived, pending->attempt);
    const LeafReason reason = RefusalReason(pending->attempt);
    if (reason != LeafReason::kNone) {
      Refuse(*pending, reason);
      return;
    }
    m_pending[pending->attempt.attempt_id] = pending;
    m_queue.push_back(pending);
    StartNext();
  }

  LeafReason RefusalReason(const Attempt& attempt) {
    if (m_faults.Refusal() != LeafReason::kNone) {
      return m_faults.Refusal();
    }
    if (m_is_draining && m_refuses_when_draining) {
      return LeafReason::kDraining;
    }
    if (!m_config.Serves(attempt)) {
      return LeafReason::kVersionMissing;
    }
    if (m_time.RandomFraction() < m_faults.ShedShare()) {
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
      const PendingAttemptPtr pending = m_queue.front();
      m_queue.pop_front();
      if (Now() >= pending->attempt.deadline) {
        m_pending.erase(pending->attempt.attempt_id);
        Refuse(*pending, LeafReason::kDeadline);
        continue;
      }
      Start(pending);
      if (m_server == nullptr) {
        return;
      }
    }
  }

  void Start(const PendingAttemptPtr& pending) {
    pending->is_running = true;
    ++m_running;
    ++m_counts.started;
    m_counts.concurrent_max = std::max(m_counts.concurrent_max, m_running);
    m_log.Add(m_name, ExecutionEvent::kStarted, pending->attempt);
    if (m_faults.Crashes(pending->attempt.query)) {
      Crash(m_faults.RestartDelay());
      return;
    }
    pending->timer = m_loop.At(Now() + m_time.Next(Now()), [this, pending] {
      m_gate.RunOrQueue([this, pending] { Finish(pending); });
    });
  }

  void Finish(const PendingAttemptPtr& pending) {
    if (!pending->is_running) {
      return;
    }
    Release(*pending);
    ++m_counts.finished;
    m_log.Add(m_name, ExecutionEvent::kFinished, pending->attempt);
    const Duration delay = m_config.latency + m_faults.NextResponseDelay();
    if (delay == Duration::zero()) {
      Answer(*pending);
    } else {
      AnswerLater(pending, delay);
    }
    StartNext();
  }

  // A crash during `delay` discards the response.
  void AnswerLater(const PendingAttemptPtr& pending, Duration delay) {
    m_delayed_responses[pending->attempt.attempt_id] = pending;
    m_calls.After(delay, [this, pending] {
      m_gate.RunOrQueue([this, pending] {
        if (m_delayed_responses.erase(pending->attempt.attempt_id) > 0) {
          Answer(*pending);
        }
      });
    });
  }

  void Release(PendingAttempt& pending) {
    pending.is_running = false;
    pending.timer = nullptr;
    m_pending.erase(pending.attempt.attempt_id);
    --m_running;
  }

  void Answer(const PendingAttempt& pending) {
    AttemptOutcome outcome = OutcomeWithState();
    outcome.result = AttemptResult::kAnswered;
    outcome.hits = MakeHits(pending.attempt, m_config.hits);
    outcome.covered = m_faults.Covered();
    SendAnswer(m_calls, pending.exchange, pending.attempt, outcome,
               m_faults.NextResponseFault());
  }

  void Refuse(const PendingAttempt& pending, LeafReason reason) {
    ++m_counts.refused;
    m_log.Add(m_name, ExecutionEvent::kRefused, pending.attempt);
    SendRefusal(pending, reason, Verdict::kNotRun);
  }

  void SendRefusal(const PendingAttempt& pending,
                   LeafReason reason,
                   Verdict verdict) {
    AttemptOutcome outcome = OutcomeWithState();
    outcome.result = AttemptResult::kRefused;
    outcome.reason = reason;
    outcome.verdict = verdict;
    pending.exchange->Respond(JsonResponse(
        StatusOf(reason), EncodeOutcome(pending.attempt, outcome)));
  }

  // An outcome with the leaf's state, which every response reports.
  AttemptOutcome OutcomeWithState() {
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
    const auto found = m_pending.find(attempt_id);
    if (found == m_pending.end()) {
      return;
    }
    const PendingAttemptPtr pending = found->second;
    ++m_counts.cancelled;
    m_log.Add(m_name, ExecutionEvent::kCancelled, pending->attempt);
    if (pending->is_running) {
      Release(*pending);
      SendRefusal(*pending, LeafReason::kCancelled, Verdict::kMayHaveRun);
    } else {
      m_pending.erase(found);
      m_queue.erase(std::find(m_queue.begin(), m_queue.end(), pending));
      SendRefusal(*pending, LeafReason::kCancelled, Verdict::kNotRun);
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
  std::deque<PendingAttemptPtr> m_queue;
  // Queued and running attempts.
  std::unordered_map<std::string, PendingAttemptPtr> m_pending;
  // Finished attempts whose response is delayed.
  std::unordered_map<std::string, PendingAttemptPtr> m_delayed_responses;

  bool m_is_draining = false;
  bool m_refuses_when_draining = false;
  std::unique_ptr<Timer> m_restart_timer;
};

void LeafImpl::Crash(Duration down_time) {
  if (m_server == nullptr) {
    return;
  }
  ++m_counts.crashes;
  for (const auto& [id, pending] : m_pending) {
    pending->is_running = false;
    pending->timer = nullptr;
    m_log.Add(m_name, ExecutionEvent::kCrashed, pending->attempt);
  }
  m_pending.clear();
  m_delayed_responses.clear();
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
