#pragma once

#include <cstddef>
#include <optional>
#include <set>

#include "base/endpoint.h"
#include "base/time.h"

namespace bramleyspoke {

/// Finds out that open connections to leafs have gone silent without a reset.
///
/// Each request would otherwise find out about one connection, by waiting on it
/// until its deadline. If several leafs have been silent for long and none has
/// answered, while they accept new connections, all open ones are suspect.
class SilentConnections {
 public:
  /// Number of silent leafs from which on connections are suspect.
  static constexpr std::size_t kMinLeafs = 2;
  /// How long they must have been silent: longer than leafs usually stall.
  static constexpr Duration kMinSilence = std::chrono::milliseconds(500);
  /// Maximum of that time, which doubles as long as closing does not help.
  static constexpr Duration kMaxMinSilence = std::chrono::seconds(16);

  void OnAnswered(TimePoint now);
  /// Records that a leaf owes the answer to an attempt that was sent at
  /// `sent_at`, or has not answered it in time.
  void OnSilent(const Endpoint& leaf, TimePoint sent_at);
  bool IsSuspected(TimePoint now) const;
  /// When the first unanswered attempt was sent: connections opened later are
  /// not suspect.
  TimePoint Since() const { return m_since.value_or(TimePoint()); }
  /// Begins anew, after the suspect connections were closed.
  void OnClosed();

 private:
  void Clear();

  std::set<Endpoint> m_leafs;
  std::optional<TimePoint> m_since;
  std::optional<TimePoint> m_answered_at;
  Duration m_min_silence = kMinSilence;
};

}  // namespace bramleyspoke
