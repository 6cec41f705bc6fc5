#pragma once

#include <iosfwd>

namespace bramleyspoke {

/// What control costs one daemon, by size of fleet and manifest: processor
/// time, bytes and memory of membership, manifest follower, holder sets and
/// routing table, with the target's rates of change, up to the target's 5,500
/// members and 85,000 leafs. Prints JSON lines, then a linear fit of each.
///
/// The decision code alone: no sockets. `Bytes` are Cap'n Proto messages, both
/// ways, without TCP.
void BenchControlCost(std::ostream& out);

}  // namespace bramleyspoke
