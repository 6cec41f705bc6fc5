#include "request/crash_table.h"

#include <algorithm>

namespace bramleyspoke {

// Peers report crashes with a delay, so the times of several daemons may be out
// of order.
bool CrashTable::Add(std::uint64_t fingerprint, TimePoint at) {
  if (m_times.size() >= kMaxFingerprints && !m_times.contains(fingerprint)) {
    EvictOldest();
  }
  std::vector<TimePoint>& times = m_times[fingerprint];
  std::erase_if(times,
                [&](TimePoint time) { return at - time >= kCrashRetention; });
  const bool is_known =
      std::any_of(times.begin(), times.end(), [&](TimePoint time) {
        return time - at < kMinCrashSpacing && at - time < kMinCrashSpacing;
      });
  if (is_known) {
    return false;
  }
  times.insert(std::upper_bound(times.begin(), times.end(), at), at);
  return true;
}

bool CrashTable::RemoveOldest(std::uint64_t fingerprint) {
  const auto found = m_times.find(fingerprint);
  if (found == m_times.end()) {
    return false;
  }
  found->second.erase(found->second.begin());
  if (found->second.empty()) {
    m_times.erase(found);
  }
  return true;
}

std::size_t CrashTable::Count(std::uint64_t fingerprint, TimePoint now) const {
  if (m_times.empty()) {
    return 0;
  }
  const auto found = m_times.find(fingerprint);
  if (found == m_times.end() || now - found->second.back() >= kCrashRetention) {
    return 0;
  }
  return found->second.size();
}

void CrashTable::EvictOldest() {
  const auto oldest = std::min_element(
      m_times.begin(), m_times.end(), [](const auto& a, const auto& b) {
        return a.second.back() < b.second.back();
      });
  m_times.erase(oldest);
}

}  // namespace bramleyspoke
