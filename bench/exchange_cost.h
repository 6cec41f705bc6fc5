#pragma once

#include <iosfwd>

namespace bramleyspoke {

/// Processor time of one exchange between two daemons over loopback, both sides
/// together, each with a connection of its own: as with random peers of a large
/// fleet. Prints a JSON line.
void BenchExchangeCost(std::ostream& out);

}  // namespace bramleyspoke
