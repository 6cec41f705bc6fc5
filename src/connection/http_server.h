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

/// One request and the way to answer it; used on the loop's thread only.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  /// Number of the connection, unique in the process.
  virtual std::uint64_t ConnectionId() const = 0;
  /// The connection's round trip time, where the system tells it.
  virtual std::optional<Duration> RoundTrip() const { return std::nullopt; }
  /// Whether the connection was opened for this request.
  virtual bool IsFirst() const { return false; }
  /// Sends the answer; only the first call counts.
  virtual void Respond(HttpResponse response) = 0;
  /// Closes the connection without an answer.
  virtual void Abort() = 0;
  /// Called once if the client closes before it has its answer.
  virtual void OnClientDisconnected(std::function<void()> callback) = 0;
  /// Starts a chunked answer; `StreamChunk` sends a part, `Abort` ends it.
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
  /// From the first byte of a request to the end of its body.
  Duration request_time = std::chrono::seconds(10);
  /// Between two requests of a connection.
  Duration idle_time = std::chrono::seconds(60);
  /// Before the first request of a connection is read (stand-ins only).
  Duration accept_delay = Duration::zero();
};

/// HTTP/1.1 server on one loop.
class HttpServer {
 public:
  /// Listens at once; `handler` and `loop` must outlive the server.
  static Result<std::unique_ptr<HttpServer>> Create(EventLoop& loop,
                                                    const Endpoint& listen,
                                                    HttpServerLimits limits,
                                                    HttpHandler& handler);
  virtual ~HttpServer() = default;

  /// Port listened on; differs from the one asked for when that was 0.
  virtual Endpoint Address() const = 0;
  /// Takes effect from the next request of each connection on.
  virtual void SetLimits(const HttpServerLimits& limits) = 0;
  /// Ends each connection after its next answer, which says so.
  virtual void EndKeepAlive() = 0;
  /// Stops listening and closes idle connections; others end after their
  /// answer, which carries "Connection: close".
  virtual void BeginShutdown() = 0;
  /// Closes all connections without an answer.
  virtual void AbortAll() = 0;
  /// Open connections; on the loop's thread.
  virtual std::size_t ConnectionCount() const = 0;
};

}  // namespace bramleyspoke
