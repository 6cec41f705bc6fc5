#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "connection/backend_server.h"

namespace bramleyspoke {

class EventLoop;

struct LeafPoolOptions {
  /// Connections to a leaf for which no limit was set.
  std::uint32_t default_limit = 4;
  /// For a new connection to be open and to have answered once.
  Duration connect_time = std::chrono::seconds(1);
  /// Pause before the next connection after one could not be had.
  Duration connect_retry_time = std::chrono::milliseconds(100);
  /// An attempt that waits longer for a connection ends as not sent.
  Duration wait_time = std::chrono::milliseconds(100);
  /// Attempts that wait for a connection, per leaf.
  std::uint32_t max_waiting = 1000;
  /// Connections unused for this long are closed.
  Duration idle_time = std::chrono::seconds(30);
  /// How long after its deadline an answer is waited for, to keep its
  /// connection.
  Duration late_answer_time = std::chrono::milliseconds(500);
  /// For a status or a cancellation.
  Duration control_time = std::chrono::seconds(1);
};

/// Totals of one pool.
struct LeafPoolCounters {
  std::uint64_t open = 0;
  std::uint64_t opened = 0;
  std::uint64_t closed = 0;
  std::uint64_t open_failures = 0;
  /// Answers read after their attempt was given up.
  std::uint64_t late_answers = 0;
  std::uint64_t waiting = 0;
};

/// `BackendServer` over pooled connections; one pool per event loop.
class LeafPool : public BackendServer {
 public:
  /// Used and destroyed on the loop's thread.
  static std::unique_ptr<LeafPool> Create(EventLoop& loop,
                                          const LeafPoolOptions& options);

  /// Most connections to `leaf`, one of them for status and cancellations if
  /// there are at least two. 0 closes them as they fall idle.
  virtual void SetConnectionLimit(const Endpoint& leaf,
                                  std::uint32_t limit) = 0;
  /// Opens `count` connections for attempts ahead of them and keeps them open.
  virtual void KeepOpen(const Endpoint& leaf, std::uint32_t count) = 0;
  virtual LeafPoolCounters Counters() const = 0;
  /// State of each leaf's connections.
  virtual std::string DumpJson() const = 0;
};

}  // namespace bramleyspoke
