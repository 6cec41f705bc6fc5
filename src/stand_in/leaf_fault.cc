#include "stand_in/leaf_fault.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <exception>

#include "base/enum_names.h"

namespace bramleyspoke::StandIn {
namespace {

namespace json = boost::json;

constexpr EnumNames<LeafFaultKind, 20> kNames{{{
    {LeafFaultKind::kNone, "none"},
    {LeafFaultKind::kSlow, "slow"},
    {LeafFaultKind::kFreeze, "freeze"},
    {LeafFaultKind::kCrash, "crash"},
    {LeafFaultKind::kRestart, "restart"},
    {LeafFaultKind::kCrashOn, "crash_on"},
    {LeafFaultKind::kRefuse, "refuse"},
    {LeafFaultKind::kShed, "shed"},
    {LeafFaultKind::kLieLoad, "lie_load"},
    {LeafFaultKind::kLieStatus, "lie_status"},
    {LeafFaultKind::kDropAnswer, "drop_answer"},
    {LeafFaultKind::kHalfAnswer, "half_answer"},
    {LeafFaultKind::kWrongId, "wrong_id"},
    {LeafFaultKind::kWrongEcho, "wrong_echo"},
    {LeafFaultKind::kLateAnswer, "late_answer"},
    {LeafFaultKind::kPartial, "partial"},
    {LeafFaultKind::kDrain, "drain"},
    {LeafFaultKind::kUndrain, "undrain"},
    {LeafFaultKind::kSetVersions, "set_versions"},
    {LeafFaultKind::kSetShards, "set_shards"},
}}};

std::vector<IndexVersion> ReadVersions(const json::value& value) {
  std::vector<IndexVersion> versions;
  for (const json::value& item : value.as_array()) {
    const json::object& version = item.as_object();
    versions.push_back({version.at("version").to_number<std::uint64_t>(),
                        std::string(version.at("layout").as_string())});
  }
  return versions;
}

void ReadValue(const json::value& value, LeafFault& fault) {
  if (fault.kind == LeafFaultKind::kSetVersions) {
    fault.versions = ReadVersions(value);
  } else if (fault.kind == LeafFaultKind::kSetShards) {
    fault.shards = json::value_to<std::vector<std::uint32_t>>(value);
  } else if (value.is_number()) {
    fault.number = value.to_number<double>();
  } else if (value.is_string()) {
    fault.text = std::string(value.get_string());
  } else {
    fault.text = json::serialize(value);
  }
}

Result<LeafFaultRequest> ReadRequest(const json::object& object) {
  LeafFaultRequest fault_request;
  const std::string leaf(object.at("leaf").as_string());
  fault_request.leaf = ParseEndpoint(leaf);
  if (!fault_request.leaf && leaf != "*") {
    return Fail("leaf", "an IP address and a port, or *");
  }
  const std::string name(object.at("fault").as_string());
  const auto kind = kNames.ValueOf(name);
  if (!kind) {
    return Fail("fault", "a known fault, not " + name);
  }
  fault_request.fault.kind = *kind;
  if (const json::value* value = object.if_contains("value")) {
    ReadValue(*value, fault_request.fault);
  }
  if (const json::value* value = object.if_contains("ms")) {
    fault_request.fault.number = value->to_number<double>();
  }
  if (const json::value* value = object.if_contains("count")) {
    fault_request.fault.count = value->to_number<std::uint32_t>();
  }
  return fault_request;
}

}  // namespace

std::string_view ToString(LeafFaultKind kind) {
  return kNames.NameOf(kind);
}

Result<LeafFaultRequest> ParseLeafFaultRequest(std::string_view text) {
  try {
    return ReadRequest(json::parse({text.data(), text.size()}).as_object());
  } catch (const std::exception& error) {
    return Fail("", error.what());
  }
}

}  // namespace bramleyspoke::StandIn
