#pragma once

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/enum_names.h"
#include "base/result.h"
#include "base/time.h"

namespace bramleyspoke {

/// Valid range of a number, and its unit as shown in error messages.
struct NumberRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
  std::string_view unit;
};

/// Reads the keys of one JSON object and collects all problems.
///
/// A key without a fallback is required. If the value is missing or invalid, a
/// problem is added and a placeholder returned, so that the code which uses the
/// reader checks `Problems` only once, at the end.
class JsonReader {
 public:
  using ObjectCallback = std::function<void(JsonReader& object)>;

  /// `value` and `problems` must outlive the reader.
  JsonReader(const boost::json::value& value,
             std::string path,
             Problems& problems);

  std::uint32_t Integer(std::string_view key,
                        const NumberRange& range,
                        std::optional<std::uint32_t> fallback = {});
  double Real(std::string_view key,
              const NumberRange& range,
              std::optional<double> fallback = {});
  Duration Milliseconds(std::string_view key,
                        const NumberRange& range,
                        std::optional<Duration> fallback = {});
  bool Flag(std::string_view key, std::optional<bool> fallback = {});
  /// Reads a string of 1 to 64 letters, digits, '-', '_' and '.'.
  std::string Name(std::string_view key,
                   std::optional<std::string> fallback = {});
  Endpoint Address(std::string_view key, std::optional<Endpoint> fallback = {});
  /// Reads a list of distinct addresses; an absent key counts as an empty list
  /// if `min_count` is 0.
  std::vector<Endpoint> Addresses(std::string_view key, std::size_t min_count);

  template <typename Enum, std::size_t Count>
  Enum Choice(std::string_view key,
              const EnumNames<Enum, Count>& names,
              std::optional<Enum> fallback = {}) {
    std::vector<std::string_view> known;
    for (const auto& row : names.rows) {
      known.push_back(row.name);
    }
    const auto name = OneOf(key, known, fallback.has_value());
    return name ? *names.ValueOf(*name) : fallback.value_or(Enum{});
  }

  /// Reads the object under `key`; an absent key counts as an empty object if
  /// `is_optional`.
  void Object(std::string_view key,
              bool is_optional,
              const ObjectCallback& read);
  /// Reads each object of the list under `key`; an absent key counts as an
  /// empty list if `min_count` is 0.
  void Objects(std::string_view key,
               std::size_t min_count,
               const ObjectCallback& read);

  /// Reports a problem with `key`, or with the object if `key` is empty.
  void Report(std::string_view key, std::string expected);
  /// Reports the keys that have not been read; called after all reads.
  void ReportUnknownKeys();

 private:
  const boost::json::value* Find(std::string_view key,
                                 bool is_optional,
                                 const std::string& expected);
  std::optional<std::string> OneOf(std::string_view key,
                                   const std::vector<std::string_view>& known,
                                   bool is_optional);
  std::string PathOf(std::string_view key) const;

  const boost::json::object* m_object = nullptr;
  std::string m_path;
  Problems& m_problems;
  std::set<std::string, std::less<>> m_read_keys;
};

/// Parses `text` and reads its top-level object with `read`.
Result<void> ReadJson(std::string_view text,
                      const JsonReader::ObjectCallback& read);

}  // namespace bramleyspoke
