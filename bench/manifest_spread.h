#pragma once

#include <iosfwd>

namespace bramleyspoke {

/// How long a published manifest takes to be in force on all daemons, and the
/// store calls it costs, by size of fleet and loss: the followers alone, one of
/// them a watcher, joined in one thread by exchanges of 1 to 200 ms each way
/// and a store that takes up to 1.5 s a call. Prints JSON lines.
void BenchManifestSpread(std::ostream& out);

}  // namespace bramleyspoke
