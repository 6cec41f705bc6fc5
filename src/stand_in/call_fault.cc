#include "stand_in/call_fault.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <exception>
#include <string>

#include "base/enum_names.h"

namespace bramleyspoke::StandIn {
namespace {

namespace json = boost::json;

constexpr EnumNames<CallFaultMode, 7> kNames{{{
    {CallFaultMode::kNone, "none"},
    {CallFaultMode::kDown, "down"},
    {CallFaultMode::kSlow, "slow"},
    {CallFaultMode::kLoseAnswers, "lose_answers"},
    {CallFaultMode::kUnavailable, "unavailable"},
    {CallFaultMode::kBreakWatches, "break_watches"},
    {CallFaultMode::kGarbage, "garbage"},
}}};

Duration ReadTime(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? Duration::zero()
                          : std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double, std::milli>(
                                    value->to_number<double>()));
}

Result<CallFault> ReadFault(const json::object& object) {
  const std::string name(object.at("mode").as_string());
  const auto mode = kNames.ValueOf(name);
  if (!mode) {
    return Fail("mode", "a known fault, not " + name);
  }
  CallFault fault;
  fault.mode = *mode;
  fault.delay = ReadTime(object, "delay_ms");
  fault.duration = ReadTime(object, "for_ms");
  if (const json::value* count = object.if_contains("count")) {
    fault.count = count->to_number<std::uint32_t>();
  }
  return fault;
}

}  // namespace

std::string_view ToString(CallFaultMode mode) {
  return kNames.NameOf(mode);
}

Result<CallFault> ParseCallFault(std::string_view text) {
  try {
    return ReadFault(json::parse({text.data(), text.size()}).as_object());
  } catch (const std::exception& error) {
    return Fail("", error.what());
  }
}

}  // namespace bramleyspoke::StandIn
