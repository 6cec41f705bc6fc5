#pragma once

#include <functional>

#include "version/manifest.h"

namespace bramleyspoke {

/// Calls `visit` with each replica of each layout; a leaf may occur repeatedly.
void ForEachReplica(const ServiceSpec& spec,
                    const std::function<void(const Replica&)>& visit);
bool HasLeaf(const ServiceSpec& spec, const Endpoint& leaf);

}  // namespace bramleyspoke
