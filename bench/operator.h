#pragma once

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "history.h"

namespace bramleyspoke::Harness {

/// Publishes a manifest file with the operators' tool.
PublishEvent RunPublish(const std::string& programs,
                        const Endpoint& store,
                        const std::string& file);

/// Whether the store answers reads.
bool IsStoreUp(const Endpoint& store);
/// Publishes that the store's head lists, oldest first.
std::vector<StoreEvent> ReadHeadHistory(const Endpoint& store);

}  // namespace bramleyspoke::Harness
