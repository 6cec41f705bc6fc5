#include "request/timer_queue.h"

namespace bramleyspoke {

std::optional<QueryTimer> TimerQueue::PopDue(TimePoint now) {
  if (m_timers.empty() || m_timers.top().at > now) {
    return std::nullopt;
  }
  const QueryTimer timer = m_timers.top();
  m_timers.pop();
  return timer;
}

}  // namespace bramleyspoke
