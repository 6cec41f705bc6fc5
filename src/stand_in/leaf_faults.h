#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "stand_in/leaf_fault.h"

namespace bramleyspoke::StandIn {

/// Active faults of a leaf that change how it handles attempts and what it
/// reports.
class LeafFaults {
 public:
  /// Ignores the kinds that `Leaf` applies itself: those that stop, drain or
  /// reconfigure it.
  void Apply(const LeafFault& fault);

  /// Whether running `query` crashes the leaf.
  bool Crashes(const std::string& query) const;
  /// Time until the restart after such a crash; 0 for no restart.
  Duration RestartDelay() const;
  double SlowFactor() const { return m_slow_factor; }
  double ShedShare() const { return m_shed_share; }
  /// Share of the shard that is searched.
  double Covered() const { return m_covered; }
  /// Reason to refuse all attempts; `kNone` if they are not refused.
  LeafReason Refusal() const { return m_refusal; }
  /// Load to report instead of the real one.
  const std::optional<double>& FalseLoad() const { return m_false_load; }
  /// Body of GET /status instead of the real one; empty for none.
  const std::string& FalseStatus() const { return m_false_status; }
  /// Delay of the next response; counts it as affected if it is delayed.
  Duration NextResponseDelay();
  /// Fault of the next response other than a delay, or `kNone`; counts the
  /// response as affected if there is one.
  LeafFault NextResponseFault();

 private:
  bool CountAffectedResponse();

  double m_slow_factor = 1;
  double m_shed_share = 0;
  double m_covered = 1;
  LeafReason m_refusal = LeafReason::kNone;
  std::string m_crash_query;
  double m_restart_delay_ms = 0;
  std::optional<double> m_false_load;
  std::string m_false_status;
  // Fault of responses, and the number of responses that it has affected.
  LeafFault m_response_fault;
  std::uint32_t m_affected_responses = 0;
};

Duration Milliseconds(double count);

}  // namespace bramleyspoke::StandIn
