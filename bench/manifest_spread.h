#pragma once

#include <iosfwd>

namespace bramleyspoke {

/// Measures the time until a published manifest is in force on all daemons, and
/// the number of store calls, by fleet size and loss rate. Prints JSON lines.
///
/// Simulates the manifest followers alone, one of them a watcher, in one
/// thread: exchanges take 1 to 200 ms each way, a store call up to 1.5 s.
void BenchManifestSpread(std::ostream& out);

}  // namespace bramleyspoke
