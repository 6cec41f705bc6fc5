#pragma once

#include <vector>

#include "version/routing_table.h"

namespace bramleyspoke {

/// Whether `self` is one of the few daemons that watch the store: the first few
/// by a hash over `live`, and the first of each region.
///
/// No lease and no write: daemons whose views differ cost a watch too many at
/// worst.
bool IsWatcher(const DaemonAddress& self,
               const std::vector<DaemonAddress>& live);

}  // namespace bramleyspoke
