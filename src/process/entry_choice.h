#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "process/store_schema.h"

namespace bramleyspoke {

/// Most addresses that one answer names.
inline constexpr std::size_t kMostEntryAddresses = 64;
/// Fewer daemons than this are no reason to keep a caller in one region.
inline constexpr std::size_t kFewestEntryAddresses = 2;
/// Daemons that a region's callers share at the least, if it has them.
inline constexpr std::size_t kFewestHolders = 3;

/// Of a large fleet, the daemons that serve callers: the same ones by every
/// daemon. Each region's have the processor of its part of `holders` average
/// daemons, those with the most first.
std::vector<DaemonEntry> ChooseHolders(const std::vector<DaemonEntry>& daemons,
                                       std::size_t holders);

/// The addresses that a caller in `caller_region` is to use.
///
/// A fan-out asks many leafs for one answer, so what crosses regions least is
/// a daemon in the leafs' region: callers of a region without leafs are sent
/// to the regions that have them.
std::vector<Endpoint> ChooseEntryAddresses(
    const std::vector<DaemonEntry>& holders,
    const std::set<std::string>& serving_regions,
    const std::string& caller_region);

}  // namespace bramleyspoke
