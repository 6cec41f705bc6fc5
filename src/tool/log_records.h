#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyspoke {

/// One line of a daemon's log.
struct LogRecord {
  /// Whose log it is.
  std::string source;
  /// Wall time at the daemon, in milliseconds since 1970.
  std::int64_t time_ms = 0;
  std::string event;
  /// All fields, these included.
  boost::json::object fields;

  /// Empty if it is absent or no text.
  std::string_view Text(std::string_view field) const;
  /// 0 if it is absent or no whole number.
  std::int64_t Integer(std::string_view field) const;
};

/// The records among the lines of `stream`.
///
/// A line may have a prefix, as collectors of logs add one: its last word names
/// the source. Without one that is `name`. Other lines are passed over.
std::vector<LogRecord> ReadLogRecords(std::istream& stream,
                                      const std::string& name);

}  // namespace bramleyspoke
