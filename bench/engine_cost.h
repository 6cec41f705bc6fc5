#pragma once

#include <iosfwd>

namespace bramleyspoke {

/// Measures the query engine's processor time per attempt. Prints JSON lines.
void BenchEngineCost(std::ostream& out);

}  // namespace bramleyspoke
