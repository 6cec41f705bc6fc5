#include "connection/etcd_message.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>

#include "connection/base64.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

std::optional<json::object> ParseObject(std::string_view body) {
  json::error_code error;
  json::value parsed = json::parse({body.data(), body.size()}, error);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  return std::move(parsed.get_object());
}

const json::object* ObjectAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_object();
}

// The gateway writes 64-bit numbers as strings.
std::optional<std::int64_t> RevisionAt(const json::object& object,
                                       std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  const json::string& text = value->get_string();
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_complete =
      error == std::errc() && end == text.data() + text.size();
  return is_complete ? std::optional(number) : std::nullopt;
}

bool IsTrue(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_bool() && value->get_bool();
}

std::optional<std::int64_t> HeaderRevision(const json::object& answer) {
  const json::object* header = ObjectAt(answer, "header");
  return header == nullptr ? std::nullopt : RevisionAt(*header, "revision");
}

// The gateway omits fields that have their default value, so an absent value is
// an empty string.
std::optional<StoreValue> ParseKeyValue(const json::value& item) {
  const json::object* entry = item.if_object();
  if (entry == nullptr) {
    return std::nullopt;
  }
  const auto revision = RevisionAt(*entry, "mod_revision");
  const json::value* value = entry->if_contains("value");
  const bool is_text = value != nullptr && value->is_string();
  const auto bytes = DecodeBase64(
      is_text ? std::string_view(value->get_string()) : std::string_view());
  if (!revision || !bytes) {
    return std::nullopt;
  }
  return StoreValue{*bytes, *revision};
}

std::optional<StoreValue> ParseEvent(const json::value& item) {
  const json::object* event = item.if_object();
  const json::value* entry =
      event == nullptr ? nullptr : event->if_contains("kv");
  return entry == nullptr ? std::nullopt : ParseKeyValue(*entry);
}

std::optional<std::vector<StoreValue>> ParseEvents(const json::object& result) {
  std::vector<StoreValue> changes;
  const json::value* events = result.if_contains("events");
  if (events == nullptr) {
    return changes;
  }
  if (!events->is_array()) {
    return std::nullopt;
  }
  for (const json::value& item : events->get_array()) {
    const auto change = ParseEvent(item);
    if (!change) {
      return std::nullopt;
    }
    changes.push_back(*change);
  }
  return changes;
}

}  // namespace

std::string EncodeRange(const std::string& key) {
  return json::serialize(json::object{{"key", EncodeBase64(key)}});
}

std::optional<StoreValue> ParseRange(std::string_view body) {
  const auto answer = ParseObject(body);
  if (!answer || !HeaderRevision(*answer)) {
    return std::nullopt;
  }
  const json::value* list = answer->if_contains("kvs");
  if (list == nullptr) {
    return StoreValue{};
  }
  if (!list->is_array() || list->get_array().size() != 1) {
    return std::nullopt;
  }
  return ParseKeyValue(list->get_array().front());
}

std::string EncodeCompareAndSwap(const std::string& key,
                                 std::int64_t expected,
                                 const std::string& value) {
  const std::string encoded_key = EncodeBase64(key);
  const json::object compare{{"key", encoded_key},
                             {"target", "MOD"},
                             {"result", "EQUAL"},
                             {"mod_revision", std::to_string(expected)}};
  const json::object put{{"key", encoded_key}, {"value", EncodeBase64(value)}};
  return json::serialize(json::object{
      {"compare", json::array{compare}},
      {"success", json::array{json::object{{"request_put", put}}}}});
}

std::optional<StoreWrite> ParseCompareAndSwap(std::string_view body) {
  const auto answer = ParseObject(body);
  if (!answer) {
    return std::nullopt;
  }
  const auto revision = HeaderRevision(*answer);
  if (!revision) {
    return std::nullopt;
  }
  return IsTrue(*answer, "succeeded") ? StoreWrite{StoreOutcome::kOk, *revision}
                                      : StoreWrite{StoreOutcome::kConflict, 0};
}

std::string EncodeWatch(const std::string& key, std::int64_t revision) {
  return json::serialize(
      json::object{{"create_request",
                    {{"key", EncodeBase64(key)},
                     {"start_revision", std::to_string(revision)}}}});
}

std::optional<WatchMessage> ParseWatchMessage(std::string_view line) {
  const auto message = ParseObject(line);
  const json::object* result = message ? ObjectAt(*message, "result") : nullptr;
  if (result == nullptr) {
    return std::nullopt;
  }
  auto changes = ParseEvents(*result);
  if (!changes) {
    return std::nullopt;
  }
  return WatchMessage{std::move(*changes), IsTrue(*result, "canceled")};
}

}  // namespace bramleyspoke
