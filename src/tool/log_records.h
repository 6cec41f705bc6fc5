#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyspoke {

/// A line of a daemon's log.
struct LogRecord {
  /// Name of the daemon or log file that the line comes from.
  std::string source;
  /// Wall-clock time of the daemon, in milliseconds since the Unix epoch.
  std::int64_t time_ms = 0;
  std::string event;
  /// All fields of the line, including time and event.
  boost::json::object fields;

  /// The string value of `field`; empty if it is absent or not a string.
  std::string_view Text(std::string_view field) const;
  /// The integer value of `field`; 0 if it is absent or not an integer.
  std::int64_t Integer(std::string_view field) const;
};

/// Reads the records from the lines of `stream`; skips lines without a valid
/// record.
///
/// If a log collector has put a prefix before the JSON object, the last word of
/// the prefix is the record's source. Without a prefix the source is `name`.
std::vector<LogRecord> ReadLogRecords(std::istream& stream,
                                      const std::string& name);

}  // namespace bramleyspoke
