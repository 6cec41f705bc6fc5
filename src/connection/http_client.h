#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/exchange_position.h"
#include "connection/http_message.h"

namespace bramleyspoke {

class ByteBudget;
class EventLoop;

/// Why a request got no response.
enum class HttpFailure {
  /// The connection could not be opened or was closed before the call: the
  /// request was not sent.
  kConnect,
  /// The connection broke or was closed after sending had begun.
  kClosed,
  /// The deadline passed after sending had begun.
  kTimeout,
  /// The response is not valid HTTP or exceeds a limit.
  kMalformed,
};

/// Whether the server may have received a request that failed this way.
constexpr bool MayHaveArrived(HttpFailure failure) {
  return failure != HttpFailure::kConnect;
}

/// A response, or a failure if `response` is not set.
struct HttpOutcome {
  std::optional<HttpResponse> response;
  HttpFailure failure = HttpFailure::kConnect;
  /// Round-trip time of the connection, if the system reports it.
  std::optional<Duration> round_trip = {};
  /// The connection had carried no earlier request and was closed without a
  /// response. Set by `LeafExchanges` only.
  bool is_connection_refused = false;
  /// Set by `LeafExchanges` only.
  ExchangePosition position = {};
};

using HttpCallback = std::function<void(HttpOutcome)>;

/// Bounds of a response; one beyond them ends its call as malformed.
struct HttpResponseLimits {
  /// Of the status line and the header fields, and of a chunk's header.
  std::size_t head_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{64} * 1024 * 1024;
  /// Shared with other connections; null for none.
  std::shared_ptr<ByteBudget> budget;
};

/// Whether a connection has carried an earlier request, to whose response later
/// bytes may belong.
enum class ConnectionUse {
  kFirst,
  kReused,
};

/// Whether a response belongs to the current request.
using HttpResponseMatcher =
    std::function<bool(const HttpResponse&, ConnectionUse)>;

/// One client connection, which carries one request at a time; used on the
/// loop's thread only.
class HttpConnection {
 public:
  /// Connects; calls `done` with null on failure or at `deadline`.
  static void Open(EventLoop& loop,
                   const Endpoint& server,
                   TimePoint deadline,
                   std::function<void(std::unique_ptr<HttpConnection>)> done);
  /// Closes the connection; a pending callback is not called.
  virtual ~HttpConnection() = default;

  /// Sends a request; after any failure the connection is closed.
  virtual void Send(HttpRequest request,
                    TimePoint deadline,
                    HttpCallback done) = 0;
  /// Sends a request and skips some responses for which `matches` is false;
  /// after a skipped response, the connection is closed at the end of the call.
  virtual void SendMatching(HttpRequest request,
                            TimePoint deadline,
                            HttpResponseMatcher matches,
                            HttpCallback done) = 0;
  /// Sets the bounds of later responses.
  virtual void LimitResponses(const HttpResponseLimits& limits) = 0;
  /// Makes the connection fail once the server has acknowledged nothing for
  /// `limit`, plus up to a second.
  virtual void LimitSilence(Duration limit) = 0;
  /// False once either side is known to have closed the connection, or if the
  /// server sent unrequested data.
  virtual bool IsOpen() const = 0;
};

/// A response that is read in parts as they arrive; destroying the stream
/// closes its connection.
class HttpStream {
 public:
  /// Calls `on_data` with each part of the body and then `on_end` once.
  static std::unique_ptr<HttpStream> Open(
      EventLoop& loop,
      const Endpoint& server,
      HttpRequest request,
      std::function<void(std::string_view)> on_data,
      std::function<void()> on_end);
  virtual ~HttpStream() = default;
};

/// Sends one request on a new connection; on the loop's thread.
void HttpCall(EventLoop& loop,
              const Endpoint& server,
              HttpRequest request,
              TimePoint deadline,
              HttpCallback done);

/// Sends one request on a new connection and waits for the outcome; for the
/// command-line tool and tests.
HttpOutcome HttpCallAndWait(const Endpoint& server,
                            const HttpRequest& request,
                            Duration timeout);

}  // namespace bramleyspoke
