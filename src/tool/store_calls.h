#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "version/manifest_publisher.h"
#include "version/manifest_reader.h"

namespace bramleyspoke {

/// Where the key-value service is and how long a call may take.
struct StoreTarget {
  std::vector<Endpoint> servers;
  Duration call_timeout = std::chrono::seconds(5);
};

/// `ManifestPublisher::Publish`, waiting for its outcome.
PublishOutcome PublishAndWait(const StoreTarget& target,
                              const Manifest& manifest,
                              const PublishOptions& options);

/// `ManifestReader::Read`, waiting for its outcome.
ManifestReadOutcome ReadAndWait(const StoreTarget& target,
                                std::optional<std::uint64_t> generation);

}  // namespace bramleyspoke
