#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/backend_server.h"
#include "connection/leaf_pool.h"

namespace bramleyspoke {

class EventLoop;
class HttpConnection;
class Timer;
struct HttpOutcome;

namespace Detail {

using AttemptCallback = std::function<void(AttemptOutcome)>;

/// Number of connections to a leaf by state.
struct LeafConnectionCounts {
  std::size_t opening = 0;
  std::size_t idle = 0;
  std::size_t busy = 0;
  /// Waiting for the response to an attempt that timed out.
  std::size_t late = 0;
  /// Attempts that wait for a connection.
  std::size_t waiting = 0;
};

/// The connections to one leaf that carry attempts, one at a time each.
class LeafConnections {
 public:
  LeafConnections(EventLoop& loop,
                  const LeafPoolOptions& options,
                  LeafPoolCounters& totals,
                  Endpoint leaf);
  ~LeafConnections();

  void SetLimit(std::uint32_t limit);
  void KeepOpen(std::uint32_t count);
  void Send(const Attempt& attempt, AttemptCallback done);
  /// Ends an attempt that waits for a connection. Returns true if the attempt
  /// was sent already, so that only the leaf can cancel it.
  bool Cancel(const std::string& attempt_id);
  /// Closes connections that were idle too long, and opens missing ones up to
  /// the number to keep open.
  void Maintain();
  LeafConnectionCounts Counts() const;

 private:
  struct Connection;
  struct Waiting;
  using ConnectionPtr = std::shared_ptr<Connection>;
  using WaitingPtr = std::shared_ptr<Waiting>;

  void EnsureOpening(std::size_t wanted);
  void OpenOne();
  void OnOpened(std::unique_ptr<HttpConnection> http, TimePoint deadline);
  void OnStatus(const ConnectionPtr& connection, const HttpOutcome& outcome);
  void OnOpenFailed();
  ConnectionPtr PopIdle();
  void Write(const ConnectionPtr& connection,
             const Attempt& attempt,
             AttemptCallback done);
  void OnDeadline(const ConnectionPtr& connection);
  void OnResponse(const ConnectionPtr& connection, const HttpOutcome& outcome);
  void Release(const ConnectionPtr& connection);
  void Close(ConnectionPtr connection);
  void ServeWaiting();
  void AddWaiting(const Attempt& attempt, AttemptCallback done);
  void EndWaiting(WaitingPtr waiting, AttemptOutcome outcome);
  void EndAllWaiting();
  void PostOutcome(AttemptCallback done, AttemptOutcome outcome);

  EventLoop& m_loop;
  const LeafPoolOptions& m_options;
  LeafPoolCounters& m_totals;
  Endpoint m_leaf;
  std::uint32_t m_limit;
  std::uint32_t m_min_connections = 0;
  std::size_t m_opening = 0;
  TimePoint m_next_open_time;
  std::vector<ConnectionPtr> m_connections;
  // The idle ones of `m_connections`, the most recently used last.
  std::vector<ConnectionPtr> m_idle;
  std::deque<WaitingPtr> m_waiting;
  std::shared_ptr<LeafConnections*> m_self;
};

}  // namespace Detail
}  // namespace bramleyspoke
