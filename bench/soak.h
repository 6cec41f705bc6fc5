#pragma once

#include <cstddef>

#include "base/result.h"
#include "trial.h"

namespace bramleyspoke::Harness {

/// Rounds of random faults on a small fleet for the whole measured time, each
/// round with a seed of its own and its history checked.
///
/// The number of rounds that failed; their seeds are printed.
Result<std::size_t> RunSoak(const BenchOptions& options);

}  // namespace bramleyspoke::Harness
