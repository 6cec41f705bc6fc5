#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace bramleyspoke {

/// Crashes by fingerprint, bounded in number and age.
class CrashTable {
 public:
  /// Crashes closer together than this count as one failure of several leafs.
  static constexpr Duration kMinCrashSpacing = std::chrono::milliseconds(100);
  /// How long a crash counts.
  static constexpr Duration kCrashRetention = std::chrono::minutes(10);
  static constexpr std::size_t kMaxFingerprints = 4096;

  /// Adds the crash `id`; returns false if it is known or counts together with
  /// another one.
  bool Add(std::uint64_t fingerprint, std::uint64_t id, TimePoint at);
  /// Takes the crash `id` back; returns false if others that counted together
  /// with it remain, or it is not known.
  bool TakeBack(std::uint64_t fingerprint, std::uint64_t id);
  /// Removes the oldest crash; false if there was none.
  bool RemoveOldest(std::uint64_t fingerprint);
  /// Removes all crashes; false if there was none.
  bool Remove(std::uint64_t fingerprint) {
    return m_crashes.erase(fingerprint) > 0;
  }
  std::size_t Count(std::uint64_t fingerprint, TimePoint now) const;
  /// Time of the last crash, if any.
  std::optional<TimePoint> Last(std::uint64_t fingerprint) const;

 private:
  /// Crashes that count as one.
  struct Crash {
    std::vector<std::uint64_t> ids;
    TimePoint at;
  };

  void EvictOldest();

  /// In order of time for each fingerprint; never empty.
  std::unordered_map<std::uint64_t, std::vector<Crash>> m_crashes;
};

}  // namespace bramleyspoke
