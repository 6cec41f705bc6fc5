#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "base/time.h"

namespace bramleyspoke {

enum class TimerKind {
  kDeadline,
  kSnapshot,
  kHedge,
  kRetry,
  kCanary,
};

/// A query's timer; one that comes when the query has ended is dropped.
struct QueryTimer {
  TimePoint at;
  std::uint64_t query = 0;
  TimerKind kind = TimerKind::kDeadline;
};

/// Timers of all queries, the earliest first.
class TimerQueue {
 public:
  void Add(const QueryTimer& timer) { m_timers.push(timer); }
  /// The earliest timer, if it is due at `now`.
  std::optional<QueryTimer> PopDue(TimePoint now);
  /// The earliest timer, or null.
  const QueryTimer* Top() const {
    return m_timers.empty() ? nullptr : &m_timers.top();
  }
  void Pop() { m_timers.pop(); }

 private:
  struct IsLater {
    bool operator()(const QueryTimer& a, const QueryTimer& b) const {
      return a.at > b.at;
    }
  };

  std::priority_queue<QueryTimer, std::vector<QueryTimer>, IsLater> m_timers;
};

}  // namespace bramleyspoke
