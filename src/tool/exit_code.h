#pragma once

#include <array>
#include <string_view>

namespace bramleyspoke {

/// Exit status of the tool. Scripts may rely on the numbers.
enum class ExitCode {
  kDone = 0,
  kInternalError = 1,
  kUsage = 2,
  kInvalidInput = 3,
  kConflict = 4,
  kNotDone = 5,
  kUnknown = 6,
  kPartial = 7,
};

/// An exit code and its description in the help.
struct ExitCodeText {
  ExitCode code;
  std::string_view text;
};

inline constexpr std::array<ExitCodeText, 8> kExitCodeTexts{{
    {ExitCode::kDone, "done"},
    {ExitCode::kInternalError, "internal error"},
    {ExitCode::kUsage, "invalid command line"},
    {ExitCode::kInvalidInput, "invalid input file or request"},
    {ExitCode::kConflict, "conflict with another publish: nothing was changed"},
    {ExitCode::kNotDone, "not done: nothing was changed and no request ran"},
    {ExitCode::kUnknown,
     "unknown: the change may have been accepted or the request may have run"},
    {ExitCode::kPartial,
     "partial: coverage is too low, or daemons are unreachable or not ready"},
}};

}  // namespace bramleyspoke
