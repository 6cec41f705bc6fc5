#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "request/stop_schedule.h"

namespace bramleyspoke {

/// Steps of a planned stop.
enum class StopStep {
  /// No stop has been requested.
  kServing,
  /// Removed from address answers; still serves callers that use an earlier
  /// answer.
  kLeaving,
  /// Accepts no new connections; finishes the requests in flight.
  kFinishing,
  /// Every request has been answered or refused; sends what is not sent yet.
  kSending,
  /// No connection or request remains, or the bound has passed.
  kDone,
};

struct PlannedStopOptions {
  /// Duration of `kLeaving`; longer than callers use an address answer.
  Duration keep_serving = Duration::zero();
  /// Time from the start of the stop by which every request is answered.
  Duration answer_all = Duration::zero();
  /// Maximum time from the start of the stop to `kDone`.
  Duration bound = Duration::zero();

  /// Times for a process that is killed after `grace`.
  static PlannedStopOptions Within(Duration grace);
};

/// State machine of a planned stop.
class PlannedStop {
 public:
  explicit PlannedStop(PlannedStopOptions options) : m_options(options) {}

  void Begin(TimePoint now);
  /// Advances to the next step if it is due, and returns the current step.
  /// `remaining` is the number of open connections and requests in flight.
  StopStep Update(std::size_t remaining, TimePoint now);
  /// To be called once the stop has begun.
  StopSchedule Schedule() const;
  StopStep Step() const { return m_step; }
  bool IsStopping() const { return m_step != StopStep::kServing; }
  /// Whether new requests are served.
  bool AcceptsRequests() const { return m_step <= StopStep::kLeaving; }
  /// Whether requests were cut off at the bound.
  bool HasInterruptedRequests() const { return m_has_cut_off; }

 private:
  PlannedStopOptions m_options;
  StopStep m_step = StopStep::kServing;
  TimePoint m_begun_at;
  bool m_has_cut_off = false;
};

}  // namespace bramleyspoke
