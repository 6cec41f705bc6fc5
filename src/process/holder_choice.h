#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "process/store_schema.h"

namespace bramleyspoke {

/// Maximum number of addresses in one answer to an address query.
inline constexpr std::size_t kMaxAddresses = 64;
/// A caller is directed to the regions chosen for it only if they have at least
/// this many holders, otherwise to the holders of all regions.
inline constexpr std::size_t kMinRegionalAddresses = 2;
/// Minimum number of holders in a region that has that many daemons.
inline constexpr std::size_t kMinHoldersPerRegion = 3;

/// Hash that puts daemons in an order that is the same at each of them.
std::uint64_t AddressHash(const DaemonEntry& daemon);

/// Whether `a` becomes a holder before `b`, of the same region.
bool IsPreferredHolder(const DaemonEntry& a, const DaemonEntry& b);

/// Chooses the holders: the daemons of a large fleet that serve callers and
/// keep connections to leafs. All daemons compute the same result.
///
/// Each region gets a share of `holders` in proportion to its number of
/// daemons. Its daemons are chosen in descending order of processor capacity
/// until their total capacity reaches that of as many average daemons of the
/// region as the share, and there are `kMinHoldersPerRegion`.
std::vector<DaemonEntry> ChooseHolders(const std::vector<DaemonEntry>& daemons,
                                       std::size_t holders);

/// The daemons that reach leafs; all of them if none does, since any address
/// is then as good as another.
std::vector<DaemonEntry> KeepInContact(const std::vector<DaemonEntry>& daemons);

/// Returns the addresses that a caller in `caller_region` should use.
///
/// A fan-out queries many leafs for one answer, so traffic between regions is
/// lowest if the daemon is in the leafs' region: callers of a region without
/// leafs are directed to the regions that have them.
std::vector<Endpoint> ChooseCallerAddresses(
    const std::vector<DaemonEntry>& holders,
    const std::set<std::string>& serving_regions,
    const std::string& caller_region);

}  // namespace bramleyspoke
