#pragma once

#include <optional>
#include <string_view>

namespace bramleyspoke {

/// Whether a request may have been executed by a backend server.
///
/// The order of the values matters: `Combine` returns the greater one.
enum class Verdict {
  kNotRun,
  kRan,
  kMayHaveRun,
};

/// "not_run", "ran" or "may_have_run".
std::string_view ToString(Verdict verdict);
std::optional<Verdict> ParseVerdict(std::string_view name);

/// Verdict over two parts or attempts of a request: `kNotRun` only if both are,
/// `kMayHaveRun` if either is.
Verdict Combine(Verdict a, Verdict b);

}  // namespace bramleyspoke
