#pragma once

#include <optional>
#include <string_view>

namespace bramleyspoke {

/// Whether a request may have been executed by a backend server.
///
/// The values are ordered by how little is known; see `Combine`.
enum class Verdict {
  kNotRun,
  kRan,
  kMayHaveRun,
};

/// "not_run", "ran" or "may_have_run".
std::string_view ToString(Verdict verdict);
std::optional<Verdict> ParseVerdict(std::string_view name);

/// Verdict of a request made of two parts: not run only if neither part ran.
Verdict Combine(Verdict a, Verdict b);

}  // namespace bramleyspoke
