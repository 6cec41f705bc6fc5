#pragma once

#include <cstddef>

#include "base/result.h"
#include "trial.h"

namespace bramleyspoke::Harness {

/// The base load, nothing wrong.
Result<std::size_t> RunBase(const BenchOptions& options);
/// Holder sets of 1, 2, 3 and all daemons.
Result<std::size_t> RunHolders(const BenchOptions& options);
/// One slow replica, then one slow shard; without and with hedges.
Result<std::size_t> RunStraggler(const BenchOptions& options);
/// Half to three times what the slots carry.
Result<std::size_t> RunOverload(const BenchOptions& options);
/// The target's own condition: one straggler and one lost replica.
Result<std::size_t> RunTarget(const BenchOptions& options);

}  // namespace bramleyspoke::Harness
