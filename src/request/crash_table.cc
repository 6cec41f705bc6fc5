#include "request/crash_table.h"

#include <algorithm>

namespace bramleyspoke {

// Peers report crashes with a delay, so the times of several daemons may be out
// of order.
bool CrashTable::Add(std::uint64_t fingerprint,
                     std::uint64_t id,
                     TimePoint at) {
  if (m_crashes.size() >= kMaxFingerprints &&
      !m_crashes.contains(fingerprint)) {
    EvictOldest();
  }
  std::vector<Crash>& crashes = m_crashes[fingerprint];
  std::erase_if(crashes, [&](const Crash& crash) {
    return at - crash.at >= kCrashRetention;
  });
  const bool is_known =
      std::any_of(crashes.begin(), crashes.end(), [id](const Crash& crash) {
        return std::find(crash.ids.begin(), crash.ids.end(), id) !=
               crash.ids.end();
      });
  if (is_known) {
    return false;
  }
  const auto together =
      std::find_if(crashes.begin(), crashes.end(), [at](const Crash& crash) {
        return crash.at - at < kMinCrashSpacing &&
               at - crash.at < kMinCrashSpacing;
      });
  if (together != crashes.end()) {
    together->ids.push_back(id);
    return false;
  }
  const auto place = std::upper_bound(
      crashes.begin(), crashes.end(), at,
      [](TimePoint time, const Crash& crash) { return time < crash.at; });
  crashes.insert(place, Crash{{id}, at});
  return true;
}

bool CrashTable::TakeBack(std::uint64_t fingerprint, std::uint64_t id) {
  const auto found = m_crashes.find(fingerprint);
  if (found == m_crashes.end()) {
    return false;
  }
  std::vector<Crash>& crashes = found->second;
  for (Crash& crash : crashes) {
    std::erase(crash.ids, id);
  }
  const bool is_removed = std::erase_if(crashes, [](const Crash& crash) {
                            return crash.ids.empty();
                          }) > 0;
  if (crashes.empty()) {
    m_crashes.erase(found);
  }
  return is_removed;
}

bool CrashTable::RemoveOldest(std::uint64_t fingerprint) {
  const auto found = m_crashes.find(fingerprint);
  if (found == m_crashes.end()) {
    return false;
  }
  found->second.erase(found->second.begin());
  if (found->second.empty()) {
    m_crashes.erase(found);
  }
  return true;
}

std::size_t CrashTable::Count(std::uint64_t fingerprint, TimePoint now) const {
  if (m_crashes.empty()) {
    return 0;
  }
  const auto found = m_crashes.find(fingerprint);
  if (found == m_crashes.end() ||
      now - found->second.back().at >= kCrashRetention) {
    return 0;
  }
  return found->second.size();
}

std::optional<TimePoint> CrashTable::Last(std::uint64_t fingerprint) const {
  const auto found = m_crashes.find(fingerprint);
  if (found == m_crashes.end()) {
    return std::nullopt;
  }
  return found->second.back().at;
}

void CrashTable::EvictOldest() {
  const auto oldest = std::min_element(
      m_crashes.begin(), m_crashes.end(), [](const auto& a, const auto& b) {
        return a.second.back().at < b.second.back().at;
      });
  m_crashes.erase(oldest);
}

}  // namespace bramleyspoke
