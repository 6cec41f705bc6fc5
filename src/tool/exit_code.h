#pragma once

#include <array>
#include <string_view>

namespace bramleyspoke {

/// What the tool's exit status says; scripts may rely on the numbers.
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

/// One row of the exit codes' description.
struct ExitCodeText {
  ExitCode code;
  std::string_view text;
};

inline constexpr std::array<ExitCodeText, 8> kExitCodeTexts{{
    {ExitCode::kDone, "done"},
    {ExitCode::kInternalError, "internal error"},
    {ExitCode::kUsage, "wrong command line"},
    {ExitCode::kInvalidInput, "file or request refused as faulty"},
    {ExitCode::kConflict, "another publish came first: nothing was changed"},
    {ExitCode::kNotDone, "not done: nothing was changed, nothing ran"},
    {ExitCode::kUnknown, "unknown: may have been accepted or may have run"},
    {ExitCode::kPartial, "done in part: coverage or daemons are missing"},
}};

}  // namespace bramleyspoke
