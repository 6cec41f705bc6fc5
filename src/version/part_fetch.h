#pragma once

#include <functional>
#include <string>
#include <vector>

#include "connection/config_store.h"
#include "version/manifest_parts.h"

namespace bramleyspoke {

/// What could be read, and how the first call that failed ended; `kConflict`
/// stands for a part that is absent or not what its hash says.
using PartsDone = std::function<void(StoreOutcome, PartMap)>;

/// Reads parts from the store, a few at a time; ends at the first one that
/// can't be had.
void FetchParts(ConfigStore& store,
                const std::vector<std::string>& hashes,
                PartsDone done);

}  // namespace bramleyspoke
