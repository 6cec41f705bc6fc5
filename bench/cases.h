#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "trial.h"

namespace bramleyspoke::Harness {

/// One case of the bench.
struct BenchCase {
  std::string_view name;
  std::string_view purpose;
  /// Runs the case and returns the number of violations found.
  std::function<Result<std::size_t>(const BenchOptions&)> run;
  /// Whether the case runs only if it is named.
  bool is_on_demand = false;
};

const std::vector<BenchCase>& BenchCases();

}  // namespace bramleyspoke::Harness
