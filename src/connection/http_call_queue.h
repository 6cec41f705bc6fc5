#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/http_client.h"

namespace bramleyspoke {

class EventLoop;

struct HttpCallQueueOptions {
  /// Limit on the time to open a connection, beside a call's own timeout.
  Duration connect_timeout{0};
  /// A connection on which the server acknowledges nothing for this long is
  /// closed.
  Duration silence_limit{0};
  /// A longer body of a response ends its call as malformed.
  std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
};

/// Calls to one server that are sent one at a time, in order, over a persistent
/// connection; used on the loop's thread only.
///
/// A call without a response closes the connection, and the next one opens
/// another.
class HttpCallQueue {
 public:
  /// `inspect` gets each outcome before the call's own callback does, and may
  /// replace it.
  HttpCallQueue(EventLoop& loop,
                Endpoint server,
                const HttpCallQueueOptions& options,
                std::function<void(HttpOutcome&)> inspect);
  ~HttpCallQueue();
  HttpCallQueue(const HttpCallQueue&) = delete;
  HttpCallQueue& operator=(const HttpCallQueue&) = delete;

  /// `timeout` begins when the call is first in the queue.
  void Call(HttpRequest request, Duration timeout, HttpCallback done);
  /// Ends the first call, if any, as timed out.
  void CancelFirstCall();

 private:
  struct PendingCall {
    HttpRequest request;
    Duration timeout;
    HttpCallback done;
  };

  void StartNextCall();
  void OnOpened(std::unique_ptr<HttpConnection> connection);
  void Send();
  void EndCall(HttpOutcome outcome);

  EventLoop& m_loop;
  Endpoint m_server;
  HttpCallQueueOptions m_options;
  std::function<void(HttpOutcome&)> m_inspect;
  std::unique_ptr<HttpConnection> m_connection;
  bool m_is_opening = false;
  /// The first one is waiting for the connection or has been sent.
  std::deque<PendingCall> m_calls;
  /// Deadline of the first call.
  TimePoint m_deadline;
  /// Number of the first call once it has been sent; 0 before.
  std::uint64_t m_sent_call = 0;
  std::uint64_t m_last_sent_call = 0;
};

}  // namespace bramleyspoke
