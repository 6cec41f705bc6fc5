#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"

namespace bramleyspoke {

/// Steps of a planned stop.
enum class StopStep {
  /// Not asked for yet.
  kServing,
  /// Gone from the address answers, still serving whoever kept one.
  kLeaving,
  /// Takes no new connection; the requests in flight are finished.
  kFinishing,
  /// Nothing is left, or the bound has passed.
  kDone,
};

struct PlannedStopOptions {
  /// Length of `kLeaving`: callers keep an address answer less long.
  Duration keep_serving = Duration::zero();
  /// From the beginning to `kDone` at the latest.
  Duration bound = Duration::zero();
};

/// Decides when a planned stop goes on to its next step.
class PlannedStop {
 public:
  explicit PlannedStop(PlannedStopOptions options) : m_options(options) {}

  void Begin(TimePoint now);
  /// `left` counts open connections and requests in flight.
  StopStep Update(std::size_t left, TimePoint now);
  StopStep Step() const { return m_step; }
  bool IsStopping() const { return m_step != StopStep::kServing; }
  /// Whether requests were cut off at the bound.
  bool HasCutOff() const { return m_has_cut_off; }

 private:
  PlannedStopOptions m_options;
  StopStep m_step = StopStep::kServing;
  TimePoint m_begun_at;
  bool m_has_cut_off = false;
};

}  // namespace bramleyspoke
