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

/// Timer of a query; ignored if it expires after the query has ended.
struct QueryTimer {
  TimePoint at;
  std::uint64_t query = 0;
  TimerKind kind = TimerKind::kDeadline;
};

/// Priority queue of the timers of all queries, earliest first.
class TimerQueue {
 public:
  void Add(const QueryTimer& timer) { m_timers.push(timer); }
  /// Removes and returns the earliest timer if it is due at `now`.
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
