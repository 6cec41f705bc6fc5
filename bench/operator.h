#pragma once

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "history.h"
#include "version/manifest.h"
#include "version/manifest_publisher.h"

namespace bramleyspoke::Harness {

/// Publishes a manifest as the command-line tool does; waits for the outcome.
PublishEvent PublishTo(const Endpoint& store,
                       const Manifest& manifest,
                       const PublishOptions& options);

/// Whether the store responds to reads.
bool IsStoreUp(const Endpoint& store);
/// Returns the publishes listed in the store's head, oldest first; empty if it
/// cannot be read.
std::vector<StoreEvent> ReadHeadHistory(const Endpoint& store);

}  // namespace bramleyspoke::Harness
