#include "request/forward_message.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr EnumNames<ForwardMode, 2> kModeNames{{{
    {ForwardMode::kRun, "run"},
    {ForwardMode::kDecide, "decide"},
}}};

const json::string* FindText(const json::object* object, const char* key) {
  const json::value* value = object ? object->if_contains(key) : nullptr;
  return value ? value->if_string() : nullptr;
}

}  // namespace

std::string ToJson(const ForwardMessage& message) {
  return json::serialize(json::object{{"mode", kModeNames.NameOf(message.mode)},
                                      {"search", message.search}});
}

std::optional<ForwardMessage> ParseForwardMessage(std::string_view text) {
  json::error_code error;
  const json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::string* mode_name = FindText(object, "mode");
  const json::string* search = FindText(object, "search");
  if (mode_name == nullptr || search == nullptr) {
    return std::nullopt;
  }
  const auto mode = kModeNames.ValueOf(std::string(*mode_name));
  if (!mode) {
    return std::nullopt;
  }
  return ForwardMessage{*mode, std::string(*search)};
}

}  // namespace bramleyspoke
