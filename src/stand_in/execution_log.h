#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "connection/backend_server.h"

namespace bramleyspoke::StandIn {

/// Events of an attempt at a leaf.
enum class ExecutionEvent {
  kReceived,
  kStarted,
  kFinished,
  kCancelled,
  kCrashed,
  kRefused,
};

std::string_view ToString(ExecutionEvent event);

/// Bounded log of the attempts at all leafs, for history checks; thread-safe.
class ExecutionLog {
 public:
  void Add(std::string_view leaf, ExecutionEvent event, const Attempt& attempt);
  /// Records still held from number `since` on as JSON lines, oldest first; at
  /// most 20,000 per call.
  std::string LinesSince(std::uint64_t since) const;

 private:
  struct Record {
    std::uint64_t number = 0;
    TimePoint at;
    std::string leaf;
    ExecutionEvent event = ExecutionEvent::kReceived;
    Attempt attempt;
  };

  static std::string Encode(const Record& record);
  std::vector<Record> RecordsSince(std::uint64_t since) const;

  mutable std::mutex m_mutex;
  std::deque<Record> m_records;
  std::uint64_t m_last_number = 0;
};

}  // namespace bramleyspoke::StandIn
