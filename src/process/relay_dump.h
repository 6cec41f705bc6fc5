#pragma once

#include <string>
#include <vector>

#include "base/time.h"
#include "process/relay_metrics.h"
#include "request/leaf_table.h"
#include "version/daemon_entry.h"

namespace bramleyspoke {

/// State of a relaying daemon as JSON, with the daemons and leafs it knows.
std::string MakeRelayDump(const std::string& name,
                          const RelayObservation& state,
                          const std::vector<DaemonEntry>& daemons,
                          const LeafTable& leaf_table,
                          TimePoint now);

}  // namespace bramleyspoke
