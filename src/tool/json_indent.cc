#include "tool/json_indent.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr std::size_t kIndentWidth = 2;

void Append(const json::value& value, std::size_t depth, std::string& text);

std::string NewLine(std::size_t depth) {
  return "\n" + std::string(depth * kIndentWidth, ' ');
}

void AppendObject(const json::object& object,
                  std::size_t depth,
                  std::string& text) {
  const char* separator = "{";
  for (const auto& member : object) {
    text += separator + NewLine(depth + 1);
    text += json::serialize(json::string(member.key())) + ": ";
    Append(member.value(), depth + 1, text);
    separator = ",";
  }
  text += NewLine(depth) + "}";
}

void AppendArray(const json::array& list,
                 std::size_t depth,
                 std::string& text) {
  const char* separator = "[";
  for (const json::value& item : list) {
    text += separator + NewLine(depth + 1);
    Append(item, depth + 1, text);
    separator = ",";
  }
  text += NewLine(depth) + "]";
}

void Append(const json::value& value, std::size_t depth, std::string& text) {
  if (value.is_object() && !value.get_object().empty()) {
    AppendObject(value.get_object(), depth, text);
  } else if (value.is_array() && !value.get_array().empty()) {
    AppendArray(value.get_array(), depth, text);
  } else {
    text += json::serialize(value);
  }
}

}  // namespace

std::string IndentJson(std::string_view text) {
  json::error_code error;
  const json::value value = json::parse({text.data(), text.size()}, error);
  if (error) {
    return std::string(text);
  }
  std::string indented;
  Append(value, 0, indented);
  return indented;
}

}  // namespace bramleyspoke
