#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/backend_server.h"
#include "connection/http_client.h"
#include "connection/leaf_pool.h"

namespace bramleyspoke::Detail {

/// The connection to a leaf that is reserved for cancellations and status, so
/// that they don't wait behind attempts.
class LeafControl {
 public:
  LeafControl(EventLoop& loop,
              const LeafPoolOptions& options,
              LeafPoolCounters& totals,
              Endpoint leaf);
  ~LeafControl();

  void Cancel(const std::string& attempt_id);
  void FetchStatus(std::function<void(std::optional<LeafStatus>)> done);
  /// Opens the connection in advance of its first call.
  void Open();
  /// Closes the connection if it was idle too long or the leaf closed it.
  void Maintain();
  bool IsOpen() const { return m_http != nullptr; }
  bool IsIdle() const { return m_calls.empty() && !m_is_opening; }

 private:
  struct Call {
    HttpRequest request;
    HttpCallback done;
  };

  void Add(Call call);
  void SendNext();
  void OnOpened(std::unique_ptr<HttpConnection> http);
  void OnResponse(HttpOutcome outcome);
  void FailAll();
  void Close();

  EventLoop& m_loop;
  const LeafPoolOptions& m_options;
  LeafPoolCounters& m_totals;
  Endpoint m_leaf;
  std::unique_ptr<HttpConnection> m_http;
  bool m_is_opening = false;
  bool m_is_busy = false;
  // The first call is in flight while `m_is_busy` is set.
  std::deque<Call> m_calls;
  TimePoint m_last_use;
  std::shared_ptr<LeafControl*> m_self;
};

}  // namespace bramleyspoke::Detail
