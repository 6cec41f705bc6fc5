#pragma once

#include <vector>

#include "version/routing_table.h"

namespace bramleyspoke {

/// Returns whether `self` is one of the daemons that watch the store: the first
/// few of `live` in the order of a hash, and the first of each region.
///
/// The choice needs no lease and no write to the store. If daemons' views of
/// `live` differ, the cost is some extra watches.
bool IsWatcher(const DaemonAddress& self,
               const std::vector<DaemonAddress>& live);

}  // namespace bramleyspoke
