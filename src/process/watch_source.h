#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/endpoint.h"
#include "version/daemon_entry.h"

namespace bramleyspoke {

/// Number of peers that follow the store through one daemon.
inline constexpr std::size_t kPeersPerSource = 16;

/// Returns the peer through which the daemon with peer endpoint `self` follows
/// the store; nothing if it watches the store itself.
///
/// The daemons of each failure domain form trees. The holders, or one daemon if
/// there are none, are the roots and watch the store. If daemons' views of
/// `daemons` differ, the cost is some longer ways.
std::optional<Endpoint> ChooseWatchSource(
    const Endpoint& self,
    const std::vector<DaemonEntry>& daemons,
    const std::vector<DaemonEntry>& holders);

}  // namespace bramleyspoke
