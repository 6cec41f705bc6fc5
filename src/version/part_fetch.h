#pragma once

#include <functional>
#include <string>
#include <vector>

#include "connection/config_store.h"
#include "version/manifest_parts.h"

namespace bramleyspoke {

/// Called with the outcome of the first failed read, or `kOk`, and the parts
/// that were read; `kConflict` means that a part is absent or does not match
/// its hash.
using PartsCallback = std::function<void(StoreOutcome, PartMap)>;

/// Reads parts from the store, several concurrently; stops at the first failed
/// read.
void FetchParts(ConfigStore& store,
                const std::vector<std::string>& hashes,
                PartsCallback done);

}  // namespace bramleyspoke
