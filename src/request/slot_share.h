#pragma once

#include <cstdint>

#include "version/routing_table.h"

namespace bramleyspoke {

/// Number of attempts that one holder of a service may have in flight at each
/// of its leafs.
///
/// A leaf's slots are divided evenly among the daemons that hold the service,
/// so that they stay within the slots without coordination.
std::uint32_t SlotShare(const ServiceRoute& route);

}  // namespace bramleyspoke
