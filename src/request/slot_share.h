#pragma once

#include <cstdint>

#include "version/routing_table.h"

namespace bramleyspoke {

/// Attempts that one holder may have in flight at each leaf.
///
/// The leaf's slots are split evenly over the daemons that hold it, so that
/// all of them together stay within the slots without speaking to each other.
std::uint32_t SlotShare(const ServiceRoute& route);

}  // namespace bramleyspoke
