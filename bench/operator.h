#pragma once

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "history.h"
#include "version/manifest.h"
#include "version/manifest_publisher.h"

namespace bramleyspoke::Harness {

/// Publishes as the operators' tool does; waits for the outcome.
PublishEvent PublishTo(const Endpoint& store,
                       const Manifest& manifest,
                       const PublishOptions& options);

/// Whether the store answers reads.
bool IsStoreUp(const Endpoint& store);
/// Publishes that the store's head lists, oldest first.
std::vector<StoreEvent> ReadHeadHistory(const Endpoint& store);

}  // namespace bramleyspoke::Harness
