#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

#include "connection/backend_server.h"

namespace bramleyspoke::StandIn {

/// What happened to an attempt at a leaf.
enum class ExecutionEvent {
  kReceived,
  kStarted,
  kFinished,
  kCancelled,
  kCrashed,
  kRefused,
};

std::string_view ToString(ExecutionEvent event);

/// Bounded record of what leafs did, for history checking; thread-safe.
class ExecutionLog {
 public:
  void Add(std::string_view leaf, ExecutionEvent event, const Attempt& attempt);
  /// JSON lines of the records from number `since` on that are still held.
  std::string LinesSince(std::uint64_t since) const;

 private:
  mutable std::mutex m_mutex;
  std::deque<std::string> m_lines;
  std::uint64_t m_first = 1;
};

}  // namespace bramleyspoke::StandIn
