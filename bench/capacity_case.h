#pragma once

#include <cstddef>

#include "base/result.h"
#include "trial.h"

namespace bramleyspoke::Harness {

/// Processor time and memory of idle daemons at four fleet sizes, and processor
/// time per attempt under load.
Result<std::size_t> RunCapacity(const BenchOptions& options);

}  // namespace bramleyspoke::Harness
