#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "stand_in/leaf_fault.h"

namespace bramleyspoke::StandIn {

/// The faults in force at a leaf that change how attempts are answered.
class LeafFaults {
 public:
  /// Takes every kind; the ones that close, stop or reconfigure the leaf are
  /// its own business and change nothing here.
  void Apply(const LeafFault& fault);

  /// Whether running `query` crashes the leaf.
  bool Crashes(const std::string& query) const;
  /// Until the start after such a crash; 0 for no start.
  Duration CrashTime() const;
  double SlowFactor() const { return m_slow_factor; }
  double ShedShare() const { return m_shed_share; }
  /// Share of the shard that is searched.
  double Covered() const { return m_covered; }
  /// `kNone` unless attempts are to be refused.
  LeafReason Refusal() const { return m_refusal; }
  const std::optional<double>& LoadLie() const { return m_load_lie; }
  /// Empty unless the status is a lie.
  const std::string& StatusLie() const { return m_status_lie; }
  /// Delay of the next answer; counts it.
  Duration TakeDelay();
  /// What spoils the next answer, `kNone` for nothing; counts it.
  LeafFault TakeSpoil();

 private:
  bool TakeAnswer();

  double m_slow_factor = 1;
  double m_shed_share = 0;
  double m_covered = 1;
  LeafReason m_refusal = LeafReason::kNone;
  std::string m_crash_query;
  double m_crash_ms = 0;
  std::optional<double> m_load_lie;
  std::string m_status_lie;
  // The fault of answers and how many it has spoiled.
  LeafFault m_spoil;
  std::uint32_t m_spoiled = 0;
};

/// `count` milliseconds.
Duration Milliseconds(double count);

}  // namespace bramleyspoke::StandIn
