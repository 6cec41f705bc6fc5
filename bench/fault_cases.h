#pragma once

#include <cstddef>

#include "base/result.h"
#include "trial.h"

namespace bramleyspoke::Harness {

/// Replicas killed and frozen under load, one and two.
Result<std::size_t> RunReplicaLoss(const BenchOptions& options);
/// A service's leafs start anew, cold, and lie about their load.
Result<std::size_t> RunColdStart(const BenchOptions& options);
/// A request that crashes each leaf that runs it, resent to every daemon.
Result<std::size_t> RunCrashingRequest(const BenchOptions& options);
/// Daemons killed, stopped and replaced every few seconds.
Result<std::size_t> RunChurn(const BenchOptions& options);
/// Index version and layout change under load.
Result<std::size_t> RunRepartition(const BenchOptions& options);
/// Outage, slowness and lost answers of the store, with publishes meanwhile.
Result<std::size_t> RunStoreDown(const BenchOptions& options);

}  // namespace bramleyspoke::Harness
