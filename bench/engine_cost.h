#pragma once

#include <iosfwd>

namespace bramleyspoke {

/// Processor time that a query engine alone takes per attempt, as JSON lines.
void BenchEngineCost(std::ostream& out);

}  // namespace bramleyspoke
