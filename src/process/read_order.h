#pragma once

#include <vector>

#include "base/time.h"
#include "version/daemon_entry.h"

namespace bramleyspoke {

/// Time between the reads of two daemons of a region that start together.
inline constexpr std::chrono::milliseconds kReadInterval{15};
/// Longest time that a daemon's read is delayed.
inline constexpr std::chrono::milliseconds kMaxReadDelay{2000};

/// Returns how long the daemon with peer endpoint `self` delays its first read
/// of the leafs, if all of `daemons` may have started at the same moment.
///
/// The daemons of a region read in the order in which they become holders, so
/// that those that serve callers do not share the store's link with all others.
Duration ChooseReadDelay(const DaemonEntry& self,
                         const std::vector<DaemonEntry>& daemons);

}  // namespace bramleyspoke
