#include "tool/log_records.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <istream>
#include <optional>
#include <utility>

namespace bramleyspoke {
namespace {

namespace json = boost::json;

json::string_view ToJsonView(std::string_view text) {
  return {text.data(), text.size()};
}

std::optional<std::int64_t> ParseTime(const std::string& text) {
  std::tm parts{};
  int millis = 0;
  const int count = std::sscanf(
      text.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &parts.tm_year, &parts.tm_mon,
      &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &millis);
  if (count != 7) {
    return std::nullopt;
  }
  parts.tm_year -= 1900;
  parts.tm_mon -= 1;
  return std::int64_t{timegm(&parts)} * 1000 + millis;
}

std::string LastWord(std::string_view prefix, const std::string& default_word) {
  constexpr std::string_view kBlanks = " \t|";
  const std::size_t end = prefix.find_last_not_of(kBlanks);
  if (end == std::string_view::npos) {
    return default_word;
  }
  const std::size_t begin = prefix.find_last_of(kBlanks, end);
  return std::string(prefix.substr(begin + 1, end - begin));
}

std::optional<LogRecord> ParseLine(std::string_view line,
                                   const std::string& name) {
  const std::size_t begin = line.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  json::error_code error;
  json::value value = json::parse(ToJsonView(line.substr(begin)), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  LogRecord record;
  record.fields = std::move(value.get_object());
  record.source = LastWord(line.substr(0, begin), name);
  record.event = record.Text("event");
  const auto time = ParseTime(std::string(record.Text("time")));
  if (!time || record.event.empty()) {
    return std::nullopt;
  }
  record.time_ms = *time;
  return record;
}

}  // namespace

std::string_view LogRecord::Text(std::string_view field) const {
  const json::value* value = fields.if_contains(ToJsonView(field));
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return {value->get_string().data(), value->get_string().size()};
}

std::int64_t LogRecord::Integer(std::string_view field) const {
  const json::value* value = fields.if_contains(ToJsonView(field));
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

std::vector<LogRecord> ReadLogRecords(std::istream& stream,
                                      const std::string& name) {
  std::vector<LogRecord> records;
  for (std::string line; std::getline(stream, line);) {
    if (auto record = ParseLine(line, name)) {
      records.push_back(std::move(*record));
    }
  }
  return records;
}

}  // namespace bramleyspoke
