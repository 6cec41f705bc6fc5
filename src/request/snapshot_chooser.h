#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "connection/backend_server.h"
#include "request/layout_plan.h"
#include "request/replica_book.h"

namespace bramleyspoke {

/// An index version that a query can run on.
struct Snapshot {
  IndexVersion version;
  std::shared_ptr<LayoutPlan> plan;
  /// Share of its shards that have a replica for it.
  double coverage = 0;
};

/// Chooses the version with the most coverage, the newest among equals.
///
/// Leafs that can't be reached count only when no version has another.
std::optional<Snapshot> ChooseSnapshot(
    const std::vector<std::shared_ptr<LayoutPlan>>& plans,
    const ReplicaBook& book);

}  // namespace bramleyspoke
