#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "trial.h"

namespace bramleyspoke::Harness {

/// One row of the bench: what it compares, and the function that runs it.
struct BenchCase {
  std::string_view name;
  std::string_view purpose;
  /// Number of broken promises found.
  std::function<Result<std::size_t>(const BenchOptions&)> run;
  /// Left out unless it is named.
  bool is_on_demand = false;
};

const std::vector<BenchCase>& BenchCases();

}  // namespace bramleyspoke::Harness
