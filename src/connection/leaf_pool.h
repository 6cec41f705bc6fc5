#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "connection/backend_server.h"

namespace bramleyspoke {

class EventLoop;

struct LeafPoolOptions {
  /// Connection limit of a leaf for which none was set.
  std::uint32_t default_limit = 4;
  /// Timeout for opening a connection and its first status request.
  Duration connect_timeout = std::chrono::seconds(1);
  /// Delay before the next connection after one could not be opened. Without
  /// any other connection, open or opening, there is no delay.
  Duration connect_retry_delay = std::chrono::milliseconds(100);
  /// An attempt that waits longer than this for a connection ends as not sent.
  Duration wait_timeout = std::chrono::milliseconds(100);
  /// Maximum number of attempts that wait for a connection, per leaf.
  std::uint32_t max_waiting = 1000;
  /// Connections unused for this long are closed.
  Duration idle_timeout = std::chrono::seconds(30);
  /// How long after the deadline a connection is kept open for a late
  /// response.
  Duration late_answer_time = std::chrono::milliseconds(500);
  /// Timeout of a status request or a cancellation.
  Duration control_timeout = std::chrono::seconds(1);
};

/// Counters of one pool over all leafs; `open` and `waiting` are current
/// numbers, the others totals.
struct LeafPoolCounters {
  std::uint64_t open = 0;
  std::uint64_t opened = 0;
  std::uint64_t closed = 0;
  std::uint64_t open_failures = 0;
  /// Responses read after their attempt had timed out.
  std::uint64_t late_answers = 0;
  std::uint64_t waiting = 0;
};

/// A `BackendServer` with pooled connections; one pool per event loop.
class LeafPool : public BackendServer {
 public:
  /// The pool must be used and destroyed on the loop's thread; destroying it
  /// discards pending callbacks.
  static std::unique_ptr<LeafPool> Create(EventLoop& loop,
                                          const LeafPoolOptions& options);

  /// Sets the maximum number of connections to `leaf`. With a limit of at least
  /// 2, one connection is reserved for status and cancellations. A limit of 0
  /// closes each connection as it becomes idle.
  virtual void SetConnectionLimit(const Endpoint& leaf,
                                  std::uint32_t limit) = 0;
  /// Opens `count` connections for attempts in advance and keeps them open.
  virtual void KeepOpen(const Endpoint& leaf, std::uint32_t count) = 0;
  virtual LeafPoolCounters Counters() const = 0;
  /// The counters and the state of each leaf's connections.
  virtual std::string DumpJson() const = 0;
};

}  // namespace bramleyspoke
