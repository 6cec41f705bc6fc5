#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace bramleyspoke {

/// A time in which a leaf wants no requests from this daemon, and the gradual
/// return of this daemon's share afterwards.
class LeafPause {
 public:
  /// Longest time that is waited for; then one request asks the leaf again, so
  /// that no value excludes it for good.
  static constexpr Duration kMaxPause = std::chrono::minutes(10);
  /// The daemons of a fleet return at different times, spread over this
  /// fraction of the pause.
  static constexpr double kSpreadFraction = 0.2;
  static constexpr Duration kMaxSpread = std::chrono::seconds(1);

  /// Records that the leaf asked for a pause.
  void OnAnnounced(Duration pause, TimePoint now);
  /// Records a response without a pause to an attempt sent at `sent`.
  void OnAnswered(TimePoint sent);

  /// When the leaf last asked for a pause.
  TimePoint AskedAt() const { return m_asked_at; }
  /// When the last pause ends or has ended.
  TimePoint End() const { return m_end; }
  bool IsPaused(TimePoint now) const { return now < m_end; }
  /// Maximum number of attempts in flight, of a share of `share`.
  std::uint32_t AttemptLimit(std::uint32_t share) const;

 private:
  TimePoint m_asked_at;
  TimePoint m_end;
  /// Attempts in flight after the pause, until the whole share has returned.
  std::optional<std::uint32_t> m_returned;
};

}  // namespace bramleyspoke
