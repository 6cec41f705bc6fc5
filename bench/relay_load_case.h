#pragma once

#include <cstddef>

#include "base/result.h"
#include "trial.h"

namespace bramleyspoke::Harness {

/// Plays the load patterns against relay engines in simulated time, each with
/// several seeds, and prints what became of the requests, beside the best that
/// full knowledge of the leafs allows.
Result<std::size_t> RunRelayLoad(const BenchOptions& options);

}  // namespace bramleyspoke::Harness
