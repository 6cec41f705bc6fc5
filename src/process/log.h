#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/enum_names.h"

namespace bramleyspoke {

/// Severity of a log line. Lines below the log's level are not written.
enum class LogLevel {
  kDebug,
  kInfo,
  kWarning,
  kError,
};

inline constexpr EnumNames<LogLevel, 4> kLogLevelNames{{{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}}};

std::string_view ToString(LogLevel level);
std::optional<LogLevel> ParseLogLevel(std::string_view name);

/// A field of a log line, with the type it has in JSON.
struct LogField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

inline LogField Field(std::string_view name, std::string_view value) {
  return {name, value};
}
inline LogField Field(std::string_view name, const char* value) {
  return {name, std::string_view(value)};
}
inline LogField Field(std::string_view name, bool value) {
  return {name, value};
}
inline LogField Field(std::string_view name, double value) {
  return {name, value};
}
template <typename Integer>
requires std::is_integral_v<Integer> LogField Field(std::string_view name,
                                                    Integer value) {
  return {name, static_cast<std::int64_t>(value)};
}

/// Starts writing the process's log to standard output, one JSON object per
/// line.
void StartLog(LogLevel level);
/// The new level takes effect at once. May be called from any thread.
void SetLogLevel(LogLevel level);
LogLevel GetLogLevel();
bool IsLogged(LogLevel level);

/// Writes one line, if its level is enabled. `event` names the kind of event in
/// snake_case; the fields hold its details. May be called from any thread.
void WriteLog(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields);

namespace Detail {

/// The line that `WriteLog` writes, without the line feed.
std::string FormatLogLine(std::string_view time,
                          LogLevel level,
                          std::string_view event,
                          std::initializer_list<LogField> fields);

}  // namespace Detail

}  // namespace bramleyspoke
