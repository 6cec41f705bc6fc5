#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "connection/backend_server.h"
#include "stand_in/leaf_config.h"
#include "stand_in/leaf_faults.h"

namespace bramleyspoke::StandIn {

/// What a leaf says about itself, late or wrong where that is asked for.
class LeafReport {
 public:
  /// `config` and `faults` must outlive it.
  LeafReport(const LeafConfig& config, const LeafFaults& faults);

  /// Share of the slots in demand, with `used` attempts running or queued.
  double Load(TimePoint now, std::size_t used);
  /// Body of GET /status, when `current` is the truth.
  std::string Status(TimePoint now, const LeafStatus& current);
  /// Forgets what was said before a restart.
  void Reset();

 private:
  const LeafConfig& m_config;
  const LeafFaults& m_faults;
  double m_load = 0;
  TimePoint m_load_seen;
  std::string m_status;
  TimePoint m_status_seen;
};

}  // namespace bramleyspoke::StandIn
