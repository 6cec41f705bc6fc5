#pragma once

#include <cstddef>

#include "base/result.h"
#include "trial.h"

namespace bramleyspoke::Harness {

/// One replica crashed, then a second one frozen, then a shard's last replica
/// crashed, under load.
Result<std::size_t> RunReplicaLoss(const BenchOptions& options);
/// Leafs restarted cold, first with true and then with false load reports.
Result<std::size_t> RunColdStart(const BenchOptions& options);
/// A request that crashes each leaf that executes it, resent to every daemon.
Result<std::size_t> RunCrashingRequest(const BenchOptions& options);
/// Daemons killed or stopped, and restarted, every few seconds.
Result<std::size_t> RunChurn(const BenchOptions& options);
/// Change of index version and layout under load.
Result<std::size_t> RunRepartition(const BenchOptions& options);
/// Store outage, slow store and lost store responses, each with a publish and a
/// daemon restart.
Result<std::size_t> RunStoreDown(const BenchOptions& options);

}  // namespace bramleyspoke::Harness
