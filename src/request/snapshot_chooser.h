#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "connection/backend_server.h"
#include "request/layout_plan.h"
#include "request/replica_table.h"

namespace bramleyspoke {

/// Index version and layout that a query runs on.
struct Snapshot {
  IndexVersion version;
  std::shared_ptr<LayoutPlan> plan;
  /// Share of the layout's shards with a replica, reachable or not, that takes
  /// new attempts and has the version.
  double coverage = 0;
};

/// Chooses the version with the highest coverage, the newest of several.
///
/// Unreachable leafs count only if no version has a reachable one. Returns
/// nullopt if no leaf that takes requests has a version.
std::optional<Snapshot> ChooseSnapshot(
    const std::vector<std::shared_ptr<LayoutPlan>>& plans,
    const ReplicaTable& replica_table);

}  // namespace bramleyspoke
