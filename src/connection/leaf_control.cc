#include "connection/leaf_control.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "connection/event_loop.h"
#include "connection/leaf_message.h"

namespace bramleyspoke::Detail {
namespace {

// Limits the queue for a leaf that does not respond. A call beyond the limit
// fails; a lost cancellation only costs processing time in the leaf.
constexpr std::size_t kMaxQueuedCalls = 100;
constexpr int kHttpOk = 200;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::string EncodeCancel(const std::string& attempt_id) {
  return boost::json::serialize(
      boost::json::object{{"attempt_id", attempt_id}});
}

}  // namespace

LeafControl::LeafControl(EventLoop& loop,
                         const LeafPoolOptions& options,
                         LeafPoolCounters& totals,
                         Endpoint leaf)
    : m_loop(loop),
      m_options(options),
      m_totals(totals),
      m_leaf(std::move(leaf)),
      m_self(std::make_shared<LeafControl*>(this)) {}

LeafControl::~LeafControl() {
  Close();
  *m_self = nullptr;
}

void LeafControl::Cancel(const std::string& attempt_id) {
  Add(Call{HttpRequest{"POST", "/cancel", {}, EncodeCancel(attempt_id)},
           [](const HttpOutcome&) {}});
}

void LeafControl::FetchStatus(
    std::function<void(std::optional<LeafStatus>)> done) {
  Add(Call{HttpRequest{"GET", "/status", {}, ""},
           [done = std::move(done)](const HttpOutcome& outcome) {
             const bool is_ok =
                 outcome.response && outcome.response->status == kHttpOk;
             done(is_ok ? ParseStatus(outcome.response->body) : std::nullopt);
           }});
}

void LeafControl::Add(Call call) {
  if (m_calls.size() >= kMaxQueuedCalls) {
    m_loop.Post([done = std::move(call.done)] { done(HttpOutcome{}); });
    return;
  }
  m_calls.push_back(std::move(call));
  SendNext();
}

void LeafControl::Open() {
  if (m_http || m_is_opening) {
    return;
  }
  m_is_opening = true;
  HttpConnection::Open(m_loop, m_leaf, Now() + m_options.connect_timeout,
                       [self = m_self](std::unique_ptr<HttpConnection> http) {
                         if (*self != nullptr) {
                           (*self)->OnOpened(std::move(http));
                         }
                       });
}

void LeafControl::OnOpened(std::unique_ptr<HttpConnection> http) {
  m_is_opening = false;
  if (!http) {
    ++m_totals.open_failures;
    FailAll();
    return;
  }
  ++m_totals.opened;
  ++m_totals.open;
  m_http = std::move(http);
  m_last_use = Now();
  SendNext();
}

void LeafControl::SendNext() {
  if (m_is_busy || m_calls.empty()) {
    return;
  }
  if (m_http && !m_http->IsOpen()) {
    Close();
  }
  if (!m_http) {
    Open();
    return;
  }
  m_is_busy = true;
  m_http->Send(m_calls.front().request, Now() + m_options.control_timeout,
               [this](HttpOutcome outcome) { OnResponse(std::move(outcome)); });
}

void LeafControl::OnResponse(HttpOutcome outcome) {
  m_is_busy = false;
  m_last_use = Now();
  const bool has_response = outcome.response.has_value();
  const HttpCallback done = std::move(m_calls.front().done);
  m_calls.pop_front();
  if (has_response) {
    SendNext();
  } else {
    Close();
    FailAll();
  }
  done(std::move(outcome));
}

void LeafControl::FailAll() {
  for (Call& call : std::exchange(m_calls, {})) {
    m_loop.Post([done = std::move(call.done)] { done(HttpOutcome{}); });
  }
}

void LeafControl::Maintain() {
  const bool is_unused = Now() - m_last_use > m_options.idle_timeout;
  if (m_http && !m_is_busy && (is_unused || !m_http->IsOpen())) {
    Close();
  }
}

void LeafControl::Close() {
  if (m_http) {
    ++m_totals.closed;
    --m_totals.open;
    m_http = nullptr;
  }
}

}  // namespace bramleyspoke::Detail
