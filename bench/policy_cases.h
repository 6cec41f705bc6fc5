#pragma once

#include <cstddef>

#include "base/result.h"
#include "trial.h"

namespace bramleyspoke::Harness {

/// The base load without faults.
Result<std::size_t> RunBase(const BenchOptions& options);
/// Holder sets of 1, 2, 3 and all daemons.
Result<std::size_t> RunHolders(const BenchOptions& options);
/// One slow replica, then one slow shard, with extra-load budgets of
/// 0, 5 and 20 %.
Result<std::size_t> RunStraggler(const BenchOptions& options);
/// Load of 0.5 to 3 times the capacity of the slots.
Result<std::size_t> RunOverload(const BenchOptions& options);
/// The condition of the latency target: one slow and one crashed replica.
Result<std::size_t> RunTarget(const BenchOptions& options);

}  // namespace bramleyspoke::Harness
