#pragma once

#include <cstddef>

#include "base/result.h"
#include "trial.h"

namespace bramleyspoke::Harness {

/// Runs rounds of random faults on a small fleet until `options.length` has
/// passed; checks the history of each round, which has its own seed.
///
/// Prints the seed of each round; returns the number of failed rounds.
Result<std::size_t> RunSoak(const BenchOptions& options);

}  // namespace bramleyspoke::Harness
