#include "process/settings.h"

#include "base/json_reader.h"

namespace bramleyspoke {
namespace {

constexpr NumberRange kCallTimeout{10, 60'000, "ms"};
constexpr NumberRange kTrafficThreads{1, 64, "threads"};
constexpr NumberRange kHeaderBytes{1'024, 1 << 20, "bytes"};
constexpr NumberRange kBodyBytes{1'024, 1 << 26, "bytes"};
constexpr NumberRange kConnections{1, 1'000'000, "connections"};
constexpr NumberRange kRequestTime{100, 600'000, "ms"};
constexpr NumberRange kIdleTime{100, 3'600'000, "ms"};
constexpr NumberRange kQueries{1, 1'000'000, "queries"};
constexpr NumberRange kKeepServing{0, 600'000, "ms"};
constexpr NumberRange kStopBound{100, 3'600'000, "ms"};

bool IsWildcard(const Endpoint& endpoint) {
  return endpoint.host == "0.0.0.0" || endpoint.host == "::";
}

// Others cannot connect to a wildcard address: a daemon that listens on one has
// to advertise another.
void ReadAddresses(JsonReader& object, Settings& settings) {
  settings.caller_listen = object.Address("caller_listen");
  settings.peer_listen = object.Address("peer_listen");
  settings.caller_advertised =
      object.Address("caller_advertised", settings.caller_listen);
  settings.peer_advertised =
      object.Address("peer_advertised", settings.peer_listen);
  if (IsWildcard(settings.caller_advertised)) {
    object.Report("caller_advertised",
                  "an address that callers can connect to");
  }
  if (IsWildcard(settings.peer_advertised)) {
    object.Report("peer_advertised", "an address that peers can connect to");
  }
  if (settings.peer_listen.port != 0 &&
      settings.caller_listen == settings.peer_listen) {
    object.Report("peer_listen", "an address other than caller_listen");
  }
}

void ReadStore(JsonReader& object, StoreSettings& store) {
  store.endpoints = object.Addresses("endpoints", 1);
  store.call_timeout =
      object.Milliseconds("call_timeout_ms", kCallTimeout, store.call_timeout);
}

void ReadLimits(JsonReader& object, LimitSettings& limits) {
  limits.header_bytes =
      object.Integer("header_bytes", kHeaderBytes, limits.header_bytes);
  limits.body_bytes =
      object.Integer("body_bytes", kBodyBytes, limits.body_bytes);
  limits.connections =
      object.Integer("connections", kConnections, limits.connections);
  limits.request_timeout = object.Milliseconds("request_time_ms", kRequestTime,
                                               limits.request_timeout);
  limits.idle_timeout =
      object.Milliseconds("idle_time_ms", kIdleTime, limits.idle_timeout);
  limits.queries_in_flight =
      object.Integer("queries_in_flight", kQueries, limits.queries_in_flight);
}

void ReadStop(JsonReader& object, StopSettings& stop) {
  stop.keep_serving =
      object.Milliseconds("keep_serving_ms", kKeepServing, stop.keep_serving);
  stop.bound = object.Milliseconds("bound_ms", kStopBound, stop.bound);
  if (stop.bound <= stop.keep_serving) {
    object.Report("bound_ms",
                  "a value greater than keep_serving_ms (" +
                      std::to_string(ToMilliseconds(stop.keep_serving)) +
                      " ms)");
  }
}

void ReadSettings(JsonReader& object, Settings& settings) {
  ReadAddresses(object, settings);
  settings.failure_domain = object.Name("failure_domain");
  settings.region = object.Name("region");
  settings.seeds = object.Addresses("seeds", 0);
  object.Object("store", false,
                [&](JsonReader& part) { ReadStore(part, settings.store); });
  settings.vm_list = object.Address("vm_list");
  settings.traffic_threads = object.Integer("traffic_threads", kTrafficThreads,
                                            settings.traffic_threads);
  object.Object("limits", true,
                [&](JsonReader& part) { ReadLimits(part, settings.limits); });
  object.Object("stop", true,
                [&](JsonReader& part) { ReadStop(part, settings.stop); });
  object.Object("log", true, [&](JsonReader& part) {
    settings.log_level =
        part.Choice("level", kLogLevelNames, std::optional(settings.log_level));
  });
}

}  // namespace

Result<Settings> ParseSettings(std::string_view json) {
  Settings settings;
  auto read = ReadJson(
      json, [&](JsonReader& object) { ReadSettings(object, settings); });
  if (!read) {
    return read.error();
  }
  return settings;
}

}  // namespace bramleyspoke
