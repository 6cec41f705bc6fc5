#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "version/manifest_publisher.h"
#include "version/manifest_reader.h"

namespace bramleyspoke {

/// Addresses of the key-value store and the timeout of each call.
struct StoreTarget {
  std::vector<Endpoint> servers;
  Duration call_timeout = std::chrono::seconds(5);
};

/// Calls `ManifestPublisher::Publish` and waits for its outcome.
PublishOutcome PublishAndWait(const StoreTarget& target,
                              const Manifest& manifest,
                              const PublishOptions& options);

/// Calls `ManifestReader::Read` and waits for its outcome.
ManifestReadOutcome ReadAndWait(const StoreTarget& target,
                                std::optional<std::uint64_t> generation);

}  // namespace bramleyspoke
