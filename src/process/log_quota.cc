#include "process/log_quota.h"

#include <chrono>
#include <utility>

namespace bramleyspoke {

bool LogQuota::Take(TimePoint now) {
  if (now - m_second_begins >= std::chrono::seconds(1)) {
    m_second_begins = now;
    m_taken = 0;
  }
  if (m_taken >= m_lines_per_second) {
    ++m_suppressed;
    return false;
  }
  ++m_taken;
  return true;
}

std::uint64_t LogQuota::TakeSuppressed() {
  return std::exchange(m_suppressed, 0);
}

}  // namespace bramleyspoke
