#include "process/relay_settings.h"

#include <algorithm>
#include <boost/json/value.hpp>
#include <cmath>

#include "base/json_reader.h"
#include "base/json_text.h"
#include "base/problems.h"

namespace bramleyspoke {
namespace {

constexpr NumberRange kRatio{0, 10, "retries and hedges per request"};
constexpr NumberRange kSlack{0, 1'000'000, "retries and hedges"};
constexpr NumberRange kProcessorShare{0, 1, "of a core"};
constexpr NumberRange kProcessorSpeed{0, 1000,
                                      "times the speed of a reference core"};
constexpr NumberRange kAddressTime{1'000, 60'000, "ms"};
constexpr NumberRange kStopBound{500, 3'600'000, "ms"};

constexpr NumberRange kApplyBound{1'000, 60'000, "ms"};
constexpr NumberRange kResponseBytes{1'024, 1'000'000'000, "bytes"};

constexpr std::string_view kSection = "relay";

void ReadRelay(JsonReader& object, RelaySettings& settings) {
  settings.name = object.Name("name");
  settings.caller_listen = object.Address("caller_listen");
  settings.readiness_listen = object.Address("readiness_listen");
  settings.address_listen = object.Address("address_listen");
  settings.peer_listen = object.Address("peer_listen");
  const Endpoint none;
  const Endpoint operator_listen = object.Address("operator_listen", none);
  if (operator_listen != none) {
    settings.operator_listen = operator_listen;
  }
  settings.failure_domain = object.Name("failure_domain");
  settings.region = object.Name("region");
  object.Objects("failure_domains", 1, [&](JsonReader& row) {
    const std::string domain = row.Name("name");
    settings.regions[domain] = row.Name("region");
  });
  settings.store = object.Address("store");
  settings.seeds = object.Addresses("seeds", 0);
  object.Object("processor", true, [&](JsonReader& part) {
    const double share = part.Real("share", kProcessorShare);
    const double speed = part.Real("speed", kProcessorSpeed);
    settings.processor = static_cast<std::uint32_t>(
        std::max(1.0, std::round(share * speed * 1000)));
  });
  object.Object("repeats", false, [&](JsonReader& part) {
    settings.repeats.ratio = part.Real("ratio", kRatio);
    settings.repeats.slack = part.Real("slack", kSlack);
  });
  settings.address_time = object.Milliseconds("address_time_ms", kAddressTime,
                                              settings.address_time);
  settings.stop_bound =
      object.Milliseconds("stop_bound_ms", kStopBound, settings.stop_bound);
  settings.apply_bound =
      object.Milliseconds("apply_bound_ms", kApplyBound, settings.apply_bound);
  object.Object("leaf_responses", true, [&](JsonReader& part) {
    LeafResponseSizes& sizes = settings.leaf_responses;
    sizes.max_each = part.Integer("max_bytes", kResponseBytes, sizes.max_each);
    sizes.max_total =
        part.Integer("max_total_bytes", kResponseBytes, sizes.max_total);
  });
  settings.log_level = object.Choice("log_level", kLogLevelNames,
                                     std::optional(settings.log_level));
}

}  // namespace

bool IsRelaySettings(std::string_view text) {
  const auto parsed = Check([&] { return ParseJsonText(text); });
  return parsed.value && parsed.value->is_object() &&
         parsed.value->get_object().contains(kSection.data());
}

Result<RelaySettings> ParseRelaySettings(std::string_view text) {
  RelaySettings settings;
  auto read = ReadJson(text, [&](JsonReader& object) {
    object.Object(kSection, false,
                  [&](JsonReader& section) { ReadRelay(section, settings); });
  });
  if (!read) {
    return read.error();
  }
  return settings;
}

}  // namespace bramleyspoke
