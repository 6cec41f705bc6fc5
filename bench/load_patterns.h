#pragma once

#include <string_view>
#include <vector>

#include "relay_load.h"

namespace bramleyspoke::Harness {

/// Time in which the faults of a pattern act.
inline constexpr Duration kPatternBegin = std::chrono::seconds(6);
inline constexpr Duration kPatternEnd = std::chrono::seconds(14);

/// A load without faults: seven daemons in three regions, 20 shards with a leaf
/// in each of two regions, and less than half of the leafs' slots in use.
RelayLoad MakeSoundLoad();

/// Adds a fault of one leaf of each of the first `shards` shards.
RelayLoad WithFault(RelayLoad load,
                    LeafFaultKind kind,
                    double strength,
                    std::size_t shards);

/// A load and faults under which requests have to wait or be refused.
struct LoadPattern {
  std::string_view name;
  RelayLoad load;
};

std::vector<LoadPattern> LoadPatterns();

}  // namespace bramleyspoke::Harness
