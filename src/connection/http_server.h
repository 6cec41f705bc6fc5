#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"
#include "connection/http_message.h"

namespace bramleyspoke {

class EventLoop;

/// One request and its response; used on the loop's thread only.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  /// Number of the connection, unique within the server.
  virtual std::uint64_t ConnectionId() const = 0;
  /// Round-trip time of the connection, if the system reports it.
  virtual std::optional<Duration> RoundTrip() const { return std::nullopt; }
  /// Whether this is the first request on its connection.
  virtual bool IsFirstOnConnection() const { return false; }
  /// Sends the response; later calls have no effect.
  virtual void Respond(HttpResponse response) = 0;
  /// Closes the connection without a response.
  virtual void Abort() = 0;
  /// Sets the function that is called once if the client closes its connection
  /// before the response.
  virtual void OnClientDisconnected(std::function<void()> callback) = 0;
  /// Starts a chunked response; `StreamChunk` sends a chunk, `Abort` ends the
  /// response.
  virtual void StreamBegin(HttpResponse head) = 0;
  virtual void StreamChunk(std::string_view chunk) = 0;
};

/// Handles the requests of an `HttpServer`.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void Handle(std::shared_ptr<HttpExchange> exchange) = 0;
};

struct HttpServerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{2} * 1024 * 1024;
  std::size_t connections = 10'000;
  /// Maximum time from the first byte of a request to the end of its body, and
  /// maximum time to send a response that is not streamed.
  Duration request_timeout = std::chrono::seconds(10);
  /// Maximum time between two requests of a connection.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Delay before the first request of a connection is read; used by stand-in
  /// services only.
  Duration accept_delay = Duration::zero();
};

/// An HTTP/1.1 server on one loop.
class HttpServer {
 public:
  /// Creates a listening server; `handler` and `loop` must outlive it.
  static Result<std::unique_ptr<HttpServer>> Create(EventLoop& loop,
                                                    const Endpoint& listen,
                                                    HttpServerLimits limits,
                                                    HttpHandler& handler);
  virtual ~HttpServer() = default;

  /// The address listened on, with the actual port if port 0 was requested.
  virtual Endpoint Address() const = 0;
  /// Sets the limits, which apply from the next request of each connection.
  virtual void SetLimits(const HttpServerLimits& limits) = 0;
  /// Closes each connection after its next response, which carries
  /// "Connection: close".
  virtual void EndKeepAlive() = 0;
  /// Stops listening and closes idle connections; others are closed after their
  /// response, which carries "Connection: close". A connection on which a
  /// request has begun to arrive is not idle.
  virtual void BeginShutdown() = 0;
  /// Refuses the requests that have arrived only in part.
  virtual void RefuseUnread() = 0;
  /// Closes all connections without a response.
  virtual void AbortAll() = 0;
  /// Number of open connections; on the loop's thread.
  virtual std::size_t ConnectionCount() const = 0;
};

}  // namespace bramleyspoke
