#pragma once

#include <iosfwd>

namespace bramleyspoke {

/// Measures the cost of the control code per daemon by fleet and manifest size:
/// processor time, bytes sent and received, and memory of membership, manifest
/// follower, holder sets and routing table, at the target's rates of change, up
/// to the target's 5,500 members and 85,000 leafs. Prints JSON lines, then a
/// linear fit of each.
///
/// Runs the decision code without sockets. Bytes are those of the Cap'n Proto
/// messages in both directions, without TCP.
void BenchControlCost(std::ostream& out);

}  // namespace bramleyspoke
