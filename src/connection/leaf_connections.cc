#include "connection/leaf_connections.h"

#include <algorithm>
#include <utility>

#include "connection/event_loop.h"
#include "connection/http_client.h"
#include "connection/leaf_message.h"

// A new connection has to get a response to GET /status before it carries an
// attempt. A leaf at its connection limit may accept a connection and then
// close it: an attempt lost that way would count as possibly run, while a lost
// status request costs nothing.
//
// An attempt that times out leaves a response outstanding on its connection.
// The connection stays open and unused until that response has been read, and
// is closed only when the response is more than `late_answer_time` overdue.
// Most late responses arrive soon after the deadline. Replacing the connection
// would take milliseconds, and for a while both the closed and the new
// connection could count against the leaf's small connection limit.
//
// The deadline is checked again before an attempt is sent, since the process
// may have been paused after the decision to send it.

namespace bramleyspoke::Detail {
namespace {

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

AttemptOutcome NotSent(LeafReason reason = LeafReason::kNone) {
  AttemptOutcome outcome;
  outcome.result = AttemptResult::kNotSent;
  outcome.reason = reason;
  outcome.verdict = Verdict::kNotRun;
  return outcome;
}

AttemptOutcome MayHaveRun(AttemptResult result) {
  AttemptOutcome outcome;
  outcome.result = result;
  outcome.verdict = Verdict::kMayHaveRun;
  return outcome;
}

AttemptOutcome OutcomeOf(const Attempt& attempt, const HttpOutcome& outcome) {
  if (outcome.response) {
    return ParseOutcome(attempt, outcome.response->status,
                        outcome.response->body);
  }
  switch (outcome.failure) {
    case HttpFailure::kConnect:
      return NotSent();
    case HttpFailure::kClosed:
      return MayHaveRun(AttemptResult::kLost);
    case HttpFailure::kTimeout:
      return MayHaveRun(AttemptResult::kTimedOut);
    case HttpFailure::kMalformed:
      break;
  }
  return MayHaveRun(AttemptResult::kWrongAnswer);
}

}  // namespace

struct LeafConnections::Connection {
  std::unique_ptr<HttpConnection> http;
  bool is_status_received = false;
  /// Whether an attempt was sent and its response has not been read.
  bool is_response_pending = false;
  Attempt attempt;
  /// Empty once the attempt has timed out.
  AttemptCallback done;
  std::unique_ptr<Timer> deadline;
  TimePoint idle_since;
};

struct LeafConnections::Waiting {
  Attempt attempt;
  AttemptCallback done;
  std::unique_ptr<Timer> timer;
};

LeafConnections::LeafConnections(EventLoop& loop,
                                 const LeafPoolOptions& options,
                                 LeafPoolCounters& totals,
                                 Endpoint leaf)
    : m_loop(loop),
      m_options(options),
      m_totals(totals),
      m_leaf(std::move(leaf)),
      m_limit(options.default_limit),
      m_self(std::make_shared<LeafConnections*>(this)) {}

LeafConnections::~LeafConnections() {
  *m_self = nullptr;
}

void LeafConnections::SetLimit(std::uint32_t limit) {
  m_limit = limit;
  while (m_connections.size() > m_limit && !m_idle.empty()) {
    Close(m_idle.front());
  }
  if (m_limit == 0) {
    EndAllWaiting();
  }
}

void LeafConnections::KeepOpen(std::uint32_t count) {
  m_min_connections = count;
  Maintain();
}

void LeafConnections::Send(const Attempt& attempt, AttemptCallback done) {
  if (Now() >= attempt.deadline) {
    PostOutcome(std::move(done), NotSent(LeafReason::kDeadline));
    return;
  }
  if (const ConnectionPtr connection = PopIdle()) {
    Write(connection, attempt, std::move(done));
    return;
  }
  if (m_limit == 0 || m_waiting.size() >= m_options.max_waiting) {
    PostOutcome(std::move(done), NotSent());
    return;
  }
  AddWaiting(attempt, std::move(done));
  EnsureOpening(m_waiting.size());
}

bool LeafConnections::Cancel(const std::string& attempt_id) {
  const auto waiting = std::find_if(
      m_waiting.begin(), m_waiting.end(), [&](const WaitingPtr& item) {
        return item->attempt.attempt_id == attempt_id;
      });
  if (waiting != m_waiting.end()) {
    AttemptOutcome outcome;
    outcome.result = AttemptResult::kCancelled;
    outcome.reason = LeafReason::kCancelled;
    EndWaiting(*waiting, std::move(outcome));
    return false;
  }
  return std::any_of(m_connections.begin(), m_connections.end(),
                     [&](const ConnectionPtr& connection) {
                       return connection->is_response_pending &&
                              connection->attempt.attempt_id == attempt_id;
                     });
}

void LeafConnections::Maintain() {
  const TimePoint oldest = Now() - m_options.idle_timeout;
  const auto idle = m_idle;
  for (const ConnectionPtr& connection : idle) {
    const bool is_unused = connection->idle_since < oldest &&
                           m_connections.size() > m_min_connections;
    if (is_unused || !connection->http->IsOpen()) {
      Close(connection);
    }
  }
  const std::size_t wanted = std::min(m_min_connections, m_limit);
  const std::size_t present = m_connections.size() + m_opening;
  if (wanted > present) {
    EnsureOpening(m_opening + wanted - present);
  }
}

LeafConnectionCounts LeafConnections::Counts() const {
  LeafConnectionCounts counts;
  counts.opening = m_opening;
  counts.idle = m_idle.size();
  counts.waiting = m_waiting.size();
  for (const ConnectionPtr& connection : m_connections) {
    if (connection->is_response_pending) {
      ++(connection->done ? counts.busy : counts.late);
    }
  }
  return counts;
}

// Opens connections until `wanted` are being opened or the limit is reached.
// After a failure, waits for the retry delay unless there is no other
// connection.
void LeafConnections::EnsureOpening(std::size_t wanted) {
  const bool has_none = m_connections.empty() && m_opening == 0;
  if (!has_none && Now() < m_next_open_time) {
    return;
  }
  while (m_opening < wanted && m_connections.size() + m_opening < m_limit) {
    OpenOne();
  }
}

void LeafConnections::OpenOne() {
  ++m_opening;
  const TimePoint deadline = Now() + m_options.connect_timeout;
  HttpConnection::Open(
      m_loop, m_leaf, deadline,
      [self = m_self, deadline](std::unique_ptr<HttpConnection> http) {
        if (*self != nullptr) {
          (*self)->OnOpened(std::move(http), deadline);
        }
      });
}

void LeafConnections::OnOpened(std::unique_ptr<HttpConnection> http,
                               TimePoint deadline) {
  --m_opening;
  if (!http) {
    OnOpenFailed();
    return;
  }
  ++m_totals.opened;
  ++m_totals.open;
  const auto connection = std::make_shared<Connection>();
  connection->http = std::move(http);
  m_connections.push_back(connection);
  connection->http->Send(
      HttpRequest{"GET", "/status", {}, ""}, deadline,
      [this, weak = std::weak_ptr(connection)](const HttpOutcome& outcome) {
        if (const ConnectionPtr connection = weak.lock()) {
          OnStatus(connection, outcome);
        }
      });
}

void LeafConnections::OnStatus(const ConnectionPtr& connection,
                               const HttpOutcome& outcome) {
  if (!outcome.response) {
    Close(connection);
    OnOpenFailed();
    return;
  }
  connection->is_status_received = true;
  Release(connection);
}

void LeafConnections::OnOpenFailed() {
  ++m_totals.open_failures;
  m_next_open_time = Now() + m_options.connect_retry_delay;
  // The waiting attempts may still get a connection that is open or opening.
  if (m_connections.empty() && m_opening == 0) {
    EndAllWaiting();
  }
}

LeafConnections::ConnectionPtr LeafConnections::PopIdle() {
  while (!m_idle.empty()) {
    const ConnectionPtr connection = m_idle.back();
    if (connection->http->IsOpen()) {
      m_idle.pop_back();
      return connection;
    }
    Close(connection);
  }
  return nullptr;
}

void LeafConnections::Write(const ConnectionPtr& connection,
                            const Attempt& attempt,
                            AttemptCallback done) {
  const TimePoint now = Now();
  connection->attempt = attempt;
  connection->done = std::move(done);
  connection->is_response_pending = true;
  connection->deadline =
      m_loop.At(attempt.deadline, [this, weak = std::weak_ptr(connection)] {
        if (const ConnectionPtr connection = weak.lock()) {
          OnDeadline(connection);
        }
      });
  connection->http->Send(
      HttpRequest{"POST", "/search", {}, EncodeAttempt(attempt, now)},
      attempt.deadline + m_options.late_answer_time,
      [this, weak = std::weak_ptr(connection)](const HttpOutcome& outcome) {
        if (const ConnectionPtr connection = weak.lock()) {
          OnResponse(connection, outcome);
        }
      });
}

void LeafConnections::OnDeadline(const ConnectionPtr& connection) {
  const AttemptCallback done = std::exchange(connection->done, nullptr);
  if (done) {
    done(MayHaveRun(AttemptResult::kTimedOut));
  }
}

void LeafConnections::OnResponse(const ConnectionPtr& connection,
                                 const HttpOutcome& outcome) {
  AttemptOutcome ended = OutcomeOf(connection->attempt, outcome);
  const AttemptCallback done = std::exchange(connection->done, nullptr);
  connection->deadline = nullptr;
  connection->is_response_pending = false;
  if (!done && outcome.response) {
    ++m_totals.late_answers;
  }
  if (ended.result == AttemptResult::kWrongAnswer) {
    Close(connection);
    ServeWaiting();
  } else {
    Release(connection);
  }
  if (done) {
    done(std::move(ended));
  }
}

void LeafConnections::Release(const ConnectionPtr& connection) {
  if (!connection->http->IsOpen() || m_connections.size() > m_limit) {
    Close(connection);
  } else {
    connection->idle_since = Now();
    m_idle.push_back(connection);
  }
  ServeWaiting();
}

// Takes the pointer by value: a reference could refer to an element erased
// here.
void LeafConnections::Close(ConnectionPtr connection) {
  ++m_totals.closed;
  --m_totals.open;
  m_idle.erase(std::remove(m_idle.begin(), m_idle.end(), connection),
               m_idle.end());
  m_connections.erase(
      std::remove(m_connections.begin(), m_connections.end(), connection),
      m_connections.end());
}

void LeafConnections::ServeWaiting() {
  while (!m_waiting.empty()) {
    const WaitingPtr waiting = m_waiting.front();
    if (Now() >= waiting->attempt.deadline) {
      EndWaiting(waiting, NotSent(LeafReason::kDeadline));
      continue;
    }
    const ConnectionPtr connection = PopIdle();
    if (!connection) {
      EnsureOpening(m_waiting.size());
      return;
    }
    m_waiting.pop_front();
    --m_totals.waiting;
    Write(connection, waiting->attempt, std::move(waiting->done));
  }
}

void LeafConnections::AddWaiting(const Attempt& attempt, AttemptCallback done) {
  const auto waiting = std::make_shared<Waiting>();
  waiting->attempt = attempt;
  waiting->done = std::move(done);
  const TimePoint until =
      std::min(attempt.deadline, Now() + m_options.wait_timeout);
  waiting->timer = m_loop.At(until, [this, weak = std::weak_ptr(waiting)] {
    if (const WaitingPtr waiting = weak.lock()) {
      EndWaiting(waiting, NotSent());
    }
  });
  m_waiting.push_back(waiting);
  ++m_totals.waiting;
}

void LeafConnections::EndWaiting(WaitingPtr waiting, AttemptOutcome outcome) {
  m_waiting.erase(std::remove(m_waiting.begin(), m_waiting.end(), waiting),
                  m_waiting.end());
  --m_totals.waiting;
  PostOutcome(std::move(waiting->done), std::move(outcome));
}

void LeafConnections::EndAllWaiting() {
  while (!m_waiting.empty()) {
    EndWaiting(m_waiting.front(), NotSent());
  }
}

// Posts the callback, so that it never runs inside the call that passed it.
void LeafConnections::PostOutcome(AttemptCallback done,
                                  AttemptOutcome outcome) {
  m_loop.Post([self = m_self, done = std::move(done),
               outcome = std::move(outcome)]() mutable {
    if (*self != nullptr) {
      done(std::move(outcome));
    }
  });
}

}  // namespace bramleyspoke::Detail
