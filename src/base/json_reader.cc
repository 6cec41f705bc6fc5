#include "base/json_reader.h"

#include <algorithm>
#include <boost/json/value.hpp>
#include <cctype>

#include "base/json_text.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::string_view kAddressExpected =
    "an IP address and a port, such as \"127.0.1.1:8080\"";

std::string DescribeRange(std::string_view kind, const NumberRange& range) {
  std::string text = std::string(kind) + " from " + std::to_string(range.min) +
                     " to " + std::to_string(range.max);
  return range.unit.empty() ? text : text + " " + std::string(range.unit);
}

std::optional<std::int64_t> AsInteger(const json::value& value) {
  if (value.is_int64()) {
    return value.get_int64();
  }
  return std::nullopt;
}

std::optional<double> AsReal(const json::value& value) {
  if (value.is_double()) {
    return value.get_double();
  }
  const auto integer = AsInteger(value);
  return integer ? std::optional(static_cast<double>(*integer)) : std::nullopt;
}

std::string_view AsString(const json::value& value) {
  if (!value.is_string()) {
    return {};
  }
  const json::string& text = value.get_string();
  return {text.data(), text.size()};
}

bool IsName(std::string_view text) {
  const auto is_allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

std::string ListExpected(std::size_t min_count) {
  return min_count == 0 ? "list"
                        : "list of at least " + std::to_string(min_count);
}

}  // namespace

JsonReader::JsonReader(const json::value& value,
                       std::string path,
                       Problems& problems)
    : m_object(value.if_object()),
      m_path(std::move(path)),
      m_problems(problems) {
  if (m_object == nullptr) {
    Report("", "object");
  }
}

std::uint32_t JsonReader::Integer(std::string_view key,
                                  const NumberRange& range,
                                  std::optional<std::uint32_t> fallback) {
  const std::string expected = DescribeRange("integer", range);
  const json::value* value = Find(key, fallback.has_value(), expected);
  if (value == nullptr) {
    return fallback.value_or(0);
  }
  const auto number = AsInteger(*value);
  if (!number || *number < range.min || *number > range.max) {
    Report(key, expected);
    return 0;
  }
  return static_cast<std::uint32_t>(*number);
}

double JsonReader::Real(std::string_view key,
                        const NumberRange& range,
                        std::optional<double> fallback) {
  const std::string expected = DescribeRange("number", range);
  const json::value* value = Find(key, fallback.has_value(), expected);
  if (value == nullptr) {
    return fallback.value_or(0);
  }
  const auto number = AsReal(*value);
  if (!number || *number < static_cast<double>(range.min) ||
      *number > static_cast<double>(range.max)) {
    Report(key, expected);
    return 0;
  }
  return *number;
}

Duration JsonReader::Milliseconds(std::string_view key,
                                  const NumberRange& range,
                                  std::optional<Duration> fallback) {
  std::optional<std::uint32_t> count;
  if (fallback) {
    count = static_cast<std::uint32_t>(ToMilliseconds(*fallback));
  }
  return std::chrono::milliseconds(Integer(key, range, count));
}

bool JsonReader::Flag(std::string_view key, std::optional<bool> fallback) {
  const std::string expected = "true or false";
  const json::value* value = Find(key, fallback.has_value(), expected);
  if (value == nullptr) {
    return fallback.value_or(false);
  }
  if (!value->is_bool()) {
    Report(key, expected);
    return false;
  }
  return value->get_bool();
}

std::string JsonReader::Name(std::string_view key,
                             std::optional<std::string> fallback) {
  const std::string expected =
      "1 to 64 letters, digits, '-', '_' or '.' in a string";
  const json::value* value = Find(key, fallback.has_value(), expected);
  if (value == nullptr) {
    return fallback.value_or("");
  }
  const std::string_view text = AsString(*value);
  if (!IsName(text)) {
    Report(key, expected);
    return {};
  }
  return std::string(text);
}

Endpoint JsonReader::Address(std::string_view key,
                             std::optional<Endpoint> fallback) {
  const std::string expected(kAddressExpected);
  const json::value* value = Find(key, fallback.has_value(), expected);
  if (value == nullptr) {
    return fallback.value_or(Endpoint{});
  }
  const auto endpoint = ParseEndpoint(AsString(*value));
  if (!endpoint) {
    Report(key, expected);
    return {};
  }
  return *endpoint;
}

std::vector<Endpoint> JsonReader::Addresses(std::string_view key,
                                            std::size_t min_count) {
  const std::string expected = ListExpected(min_count) + " addresses";
  const json::value* value = Find(key, min_count == 0, expected);
  if (value == nullptr) {
    return {};
  }
  const json::array* list = value->if_array();
  if (list == nullptr || list->size() < min_count) {
    Report(key, expected);
    return {};
  }
  std::vector<Endpoint> endpoints;
  std::set<Endpoint> seen;
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string item = std::string(key) + "[" + std::to_string(i) + "]";
    const auto endpoint = ParseEndpoint(AsString((*list)[i]));
    if (!endpoint) {
      Report(item, std::string(kAddressExpected));
    } else if (!seen.insert(*endpoint).second) {
      Report(item, "address that is unique in the list");
    } else {
      endpoints.push_back(*endpoint);
    }
  }
  return endpoints;
}

void JsonReader::Object(std::string_view key,
                        bool is_optional,
                        const ObjectCallback& read) {
  static const json::value kEmpty = json::object();
  const json::value* value = Find(key, is_optional, "object");
  if (value == nullptr && !is_optional) {
    return;
  }
  JsonReader reader(value == nullptr ? kEmpty : *value, PathOf(key),
                    m_problems);
  if (reader.m_object == nullptr) {
    return;
  }
  read(reader);
  reader.ReportUnknownKeys();
}

void JsonReader::Objects(std::string_view key,
                         std::size_t min_count,
                         const ObjectCallback& read) {
  const std::string expected = ListExpected(min_count) + " objects";
  const json::value* value = Find(key, min_count == 0, expected);
  if (value == nullptr) {
    return;
  }
  const json::array* list = value->if_array();
  if (list == nullptr || list->size() < min_count) {
    Report(key, expected);
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    JsonReader reader((*list)[i], PathOf(key) + "[" + std::to_string(i) + "]",
                      m_problems);
    if (reader.m_object != nullptr) {
      read(reader);
      reader.ReportUnknownKeys();
    }
  }
}

void JsonReader::Report(std::string_view key, std::string expected) {
  m_problems.list.push_back({PathOf(key), std::move(expected)});
}

void JsonReader::ReportUnknownKeys() {
  if (m_object == nullptr) {
    return;
  }
  for (const auto& item : *m_object) {
    const std::string_view key(item.key().data(), item.key().size());
    if (m_read_keys.find(key) == m_read_keys.end()) {
      Report(key, "a known key");
    }
  }
}

const json::value* JsonReader::Find(std::string_view key,
                                    bool is_optional,
                                    const std::string& expected) {
  m_read_keys.emplace(key);
  if (m_object == nullptr) {
    return nullptr;
  }
  const json::value* value = m_object->if_contains({key.data(), key.size()});
  if (value == nullptr && !is_optional) {
    Report(key, expected + " (the key is missing)");
  }
  return value;
}

std::optional<std::string> JsonReader::OneOf(
    std::string_view key,
    const std::vector<std::string_view>& known,
    bool is_optional) {
  std::string expected = "one of";
  for (const std::string_view name : known) {
    expected += " \"" + std::string(name) + "\"";
  }
  const json::value* value = Find(key, is_optional, expected);
  if (value == nullptr) {
    return std::nullopt;
  }
  const std::string_view text = AsString(*value);
  if (std::find(known.begin(), known.end(), text) == known.end()) {
    Report(key, expected);
    return std::nullopt;
  }
  return std::string(text);
}

std::string JsonReader::PathOf(std::string_view key) const {
  if (m_path.empty() || key.empty()) {
    return m_path + std::string(key);
  }
  return m_path + "." + std::string(key);
}

Result<void> ReadJson(std::string_view text,
                      const JsonReader::ObjectCallback& read) {
  auto value = ParseJsonText(text);
  if (!value) {
    return value.error();
  }
  Problems problems;
  JsonReader reader(*value, "", problems);
  if (problems.list.empty()) {
    read(reader);
    reader.ReportUnknownKeys();
  }
  if (!problems.list.empty()) {
    return boost::leaf::new_error(std::move(problems));
  }
  return {};
}

}  // namespace bramleyspoke
