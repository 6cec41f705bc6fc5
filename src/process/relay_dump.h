#pragma once

#include <string>
#include <vector>

#include "base/time.h"
#include "process/relay_metrics.h"
#include "request/leaf_book.h"
#include "version/daemon_entry.h"

namespace bramleyspoke {

/// A relaying daemon's state as JSON: what it holds, its daemons and leafs.
std::string MakeRelayDump(const std::string& name,
                          const RelayObservation& state,
                          const std::vector<DaemonEntry>& daemons,
                          const LeafBook& book,
                          TimePoint now);

}  // namespace bramleyspoke
