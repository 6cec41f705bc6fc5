#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "connection/backend_server.h"
#include "stand_in/leaf_config.h"
#include "stand_in/leaf_faults.h"

namespace bramleyspoke::StandIn {

/// Load and status that a leaf reports; stale or false if its settings or
/// faults say so.
class LeafReport {
 public:
  /// `config` and `faults` must outlive the report.
  LeafReport(const LeafConfig& config, const LeafFaults& faults);

  /// Ratio, at most 1, of the running or queued `attempts` to the slots.
  double Load(TimePoint now, std::size_t attempts);
  /// Body of GET /status; `current` is the real status.
  std::string Status(TimePoint now, const LeafStatus& current);
  /// Discards the cached load and status, for a restart.
  void Reset();

 private:
  const LeafConfig& m_config;
  const LeafFaults& m_faults;
  double m_load = 0;
  TimePoint m_load_updated_at;
  std::string m_status;
  TimePoint m_status_updated_at;
};

}  // namespace bramleyspoke::StandIn
