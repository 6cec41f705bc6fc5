#pragma once

#include <iosfwd>

namespace bramleyspoke {

/// Measures the processor time of one gossip exchange between two daemons over
/// loopback, for both sides together. Each exchange opens a new connection, as
/// with random peers of a large fleet. Prints a JSON line.
void BenchExchangeCost(std::ostream& out);

}  // namespace bramleyspoke
