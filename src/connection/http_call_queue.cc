#include "connection/http_call_queue.h"

#include <algorithm>
#include <utility>

#include "connection/event_loop.h"

namespace bramleyspoke {

HttpCallQueue::HttpCallQueue(EventLoop& loop,
                             Endpoint server,
                             const HttpCallQueueOptions& options,
                             std::function<void(HttpOutcome&)> inspect)
    : m_loop(loop),
      m_server(std::move(server)),
      m_options(options),
      m_inspect(std::move(inspect)) {}

HttpCallQueue::~HttpCallQueue() = default;

void HttpCallQueue::Call(HttpRequest request,
                         Duration timeout,
                         HttpCallback done) {
  m_calls.push_back({std::move(request), timeout, std::move(done)});
  if (m_calls.size() == 1) {
    StartNextCall();
  }
}

void HttpCallQueue::CancelFirstCall() {
  if (!m_calls.empty()) {
    EndCall(HttpOutcome{std::nullopt, HttpFailure::kTimeout});
  }
}

void HttpCallQueue::StartNextCall() {
  const TimePoint now = std::chrono::steady_clock::now();
  m_deadline = now + m_calls.front().timeout;
  if (m_is_opening) {
    return;
  }
  if (m_connection && m_connection->IsOpen()) {
    Send();
    return;
  }
  m_connection.reset();
  m_is_opening = true;
  HttpConnection::Open(m_loop, m_server,
                       std::min(m_deadline, now + m_options.connect_timeout),
                       [this](std::unique_ptr<HttpConnection> connection) {
                         OnOpened(std::move(connection));
                       });
}

// The call for which the connection was opened may have been cancelled.
void HttpCallQueue::OnOpened(std::unique_ptr<HttpConnection> connection) {
  m_is_opening = false;
  m_connection = std::move(connection);
  if (m_connection) {
    m_connection->LimitSilence(m_options.silence_limit);
    HttpResponseLimits limits;
    limits.body_bytes = m_options.max_body_bytes;
    m_connection->LimitResponses(limits);
  }
  if (m_calls.empty()) {
    return;
  }
  if (m_connection) {
    Send();
  } else {
    EndCall(HttpOutcome{});
  }
}

// A connection may still report the outcome of a cancelled call, as it is
// destroyed later.
void HttpCallQueue::Send() {
  m_sent_call = ++m_last_sent_call;
  m_connection->Send(std::move(m_calls.front().request), m_deadline,
                     [this, call = m_sent_call](HttpOutcome outcome) {
                       if (call == m_sent_call) {
                         EndCall(std::move(outcome));
                       }
                     });
}

// A failed connection is destroyed later, outside its own callback.
void HttpCallQueue::EndCall(HttpOutcome outcome) {
  m_sent_call = 0;
  if (!outcome.response && m_connection) {
    m_loop.Post([dropped = std::shared_ptr(std::move(m_connection))] {});
  }
  const HttpCallback done = std::move(m_calls.front().done);
  m_calls.pop_front();
  if (!m_calls.empty()) {
    StartNextCall();
  }
  m_inspect(outcome);
  done(std::move(outcome));
}

}  // namespace bramleyspoke
