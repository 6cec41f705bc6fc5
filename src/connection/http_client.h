#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/http_message.h"

namespace bramleyspoke {

class EventLoop;

/// How far a request got that has no answer.
enum class HttpFailure {
  /// No connection: the request was never sent.
  kConnect,
  /// The connection broke or was closed after sending had begun.
  kClosed,
  /// The time ended after sending had begun.
  kTimeout,
  /// What came back was no HTTP answer, or one over the limits.
  kMalformed,
};

/// Whether the server may have seen a request that failed this way.
constexpr bool MayHaveArrived(HttpFailure failure) {
  return failure != HttpFailure::kConnect;
}

/// Answer or failure; exactly one is set.
struct HttpOutcome {
  std::optional<HttpResponse> response;
  HttpFailure failure = HttpFailure::kConnect;
  /// The connection's, where the system tells it.
  std::optional<Duration> round_trip = {};
  /// The connection was new and ended before it brought anything.
  bool is_connection_refused = false;
};

using HttpCallback = std::function<void(HttpOutcome)>;

/// Whether an answer belongs to the request at hand.
using HttpAccepts = std::function<bool(const HttpResponse&)>;

/// One client connection, one request at a time; on the loop's thread only.
class HttpConnection {
 public:
  /// Connects; `done` gets null when that failed or took until `deadline`.
  static void Open(EventLoop& loop,
                   const Endpoint& server,
                   TimePoint deadline,
                   std::function<void(std::unique_ptr<HttpConnection>)> done);
  /// Closes the connection; a pending callback is dropped.
  virtual ~HttpConnection() = default;

  /// Sends a request; after any failure the connection is closed.
  virtual void Send(HttpRequest request,
                    TimePoint deadline,
                    HttpCallback done) = 0;
  /// Same, but answers that `accepts` refuses are passed over; the connection
  /// is closed after such a call.
  virtual void SendFor(HttpRequest request,
                       TimePoint deadline,
                       HttpAccepts accepts,
                       HttpCallback done) = 0;
  /// False once closed by either side, as far as seen.
  virtual bool IsOpen() const = 0;
};

/// An answer read part by part; destroying it closes the connection.
class HttpStream {
 public:
  /// `on_data` gets each part; `on_end` is called once, last.
  static std::unique_ptr<HttpStream> Open(
      EventLoop& loop,
      const Endpoint& server,
      HttpRequest request,
      std::function<void(std::string_view)> on_data,
      std::function<void()> on_end);
  virtual ~HttpStream() = default;
};

/// One request on a connection of its own; on the loop's thread.
void HttpCall(EventLoop& loop,
              const Endpoint& server,
              HttpRequest request,
              TimePoint deadline,
              HttpCallback done);

/// Same, waiting for the outcome; for the tool and for tests.
HttpOutcome HttpCallAndWait(const Endpoint& server,
                            const HttpRequest& request,
                            Duration timeout);

}  // namespace bramleyspoke
