#include "base/json_text.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <set>
#include <string>

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxDepth = 32;

json::parse_options Options() {
  json::parse_options options;
  options.allow_comments = true;
  options.max_depth = kMaxDepth;
  return options;
}

// Reports duplicate keys in an object. Boost.JSON's own handler silently keeps
// the last of them.
class KeyHandler {
 public:
  // NOLINTBEGIN(readability-identifier-naming): required by Boost.JSON.
  static constexpr std::size_t max_object_size = SIZE_MAX;
  static constexpr std::size_t max_array_size = SIZE_MAX;
  static constexpr std::size_t max_key_size = SIZE_MAX;
  static constexpr std::size_t max_string_size = SIZE_MAX;
  // NOLINTEND(readability-identifier-naming)
  using Error = json::error_code;

  Problems TakeProblems() { return std::move(m_problems); }

  bool on_document_begin(Error&) { return true; }
  bool on_document_end(Error&) { return true; }
  bool on_object_begin(Error&) { return Open(false); }
  bool on_object_end(std::size_t, Error&) { return Close(); }
  bool on_array_begin(Error&) { return Open(true); }
  bool on_array_end(std::size_t, Error&) { return Close(); }
  bool on_key_part(json::string_view part, std::size_t, Error&) {
    m_key.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, std::size_t, Error&) {
    m_key.append(part.data(), part.size());
    Level& level = m_levels.back();
    level.key = std::move(m_key);
    m_key.clear();
    if (!level.keys.insert(level.key).second) {
      m_problems.list.push_back({Path(), "a key that is unique in its object"});
    }
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, Error&) { return true; }
  bool on_string(json::string_view, std::size_t, Error&) { return Value(); }
  bool on_number_part(json::string_view, Error&) { return true; }
  bool on_int64(std::int64_t, json::string_view, Error&) { return Value(); }
  bool on_uint64(std::uint64_t, json::string_view, Error&) { return Value(); }
  bool on_double(double, json::string_view, Error&) { return Value(); }
  bool on_bool(bool, Error&) { return Value(); }
  bool on_null(Error&) { return Value(); }
  bool on_comment_part(json::string_view, Error&) { return true; }
  bool on_comment(json::string_view, Error&) { return true; }

 private:
  struct Level {
    bool is_array = false;
    std::size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  bool Open(bool is_array) {
    m_levels.push_back(Level{is_array, 0, {}, {}});
    return true;
  }
  bool Close() {
    m_levels.pop_back();
    return Value();
  }
  bool Value() {
    if (!m_levels.empty() && m_levels.back().is_array) {
      ++m_levels.back().index;
    }
    return true;
  }
  std::string Path() const {
    std::string path;
    for (const Level& level : m_levels) {
      if (level.is_array) {
        path += "[" + std::to_string(level.index) + "]";
      } else {
        path += (path.empty() ? "" : ".") + level.key;
      }
    }
    return path;
  }

  std::vector<Level> m_levels;
  std::string m_key;
  Problems m_problems;
};

std::string LineOf(std::string_view text, std::size_t offset) {
  const auto end =
      text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
  return "line " + std::to_string(1 + std::count(text.begin(), end, '\n'));
}

}  // namespace

Result<json::value> ParseJsonText(std::string_view text) {
  json::basic_parser<KeyHandler> keys(Options());
  json::error_code error;
  const std::size_t read =
      keys.write_some(false, text.data(), text.size(), error);
  if (error) {
    return Fail(LineOf(text, read),
                "JSON with comments (" + error.message() + ")");
  }
  if (read < text.size()) {
    return Fail(LineOf(text, read), "nothing after the JSON value");
  }
  Problems problems = keys.handler().TakeProblems();
  if (!problems.list.empty()) {
    return boost::leaf::new_error(std::move(problems));
  }
  return json::parse({text.data(), text.size()}, {}, Options());
}

}  // namespace bramleyspoke
