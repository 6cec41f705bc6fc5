#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"
#include "process/log.h"

namespace bramleyspoke {

/// How to reach the platform's key-value store.
struct StoreSettings {
  std::vector<Endpoint> endpoints;
  Duration call_timeout = std::chrono::milliseconds(1000);
};

/// Limits on the resources that callers may use.
struct LimitSettings {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint32_t body_bytes = 1024 * 1024;
  std::uint32_t connections = 10'000;
  /// Maximum time from the first byte of a request to the end of its body.
  Duration request_timeout = std::chrono::seconds(10);
  /// Maximum time between two requests on a connection.
  Duration idle_timeout = std::chrono::seconds(60);
  std::uint32_t queries_in_flight = 10'000;
};

/// Timing of a planned stop.
struct StopSettings {
  /// How long to keep serving after the daemon is removed from address answers;
  /// should exceed the 10 s for which callers may use an answer.
  Duration keep_serving = std::chrono::seconds(12);
  /// Maximum duration of the stop; then the process ends.
  Duration bound = std::chrono::seconds(60);
};

/// Start-up settings of a daemon.
struct Settings {
  Endpoint caller_listen;
  Endpoint peer_listen;
  /// Addresses at which others reach this daemon; the listen addresses by
  /// default.
  Endpoint caller_advertised;
  Endpoint peer_advertised;
  std::string failure_domain;
  std::string region;
  /// Peer addresses contacted first, from which a daemon learns of the other
  /// members.
  std::vector<Endpoint> seeds;
  StoreSettings store;
  Endpoint vm_list;
  std::uint32_t traffic_threads = 2;
  LimitSettings limits;
  StopSettings stop;
  LogLevel log_level = LogLevel::kInfo;
};

/// Parses and validates JSON with comments; reports every problem.
Result<Settings> ParseSettings(std::string_view json);

}  // namespace bramleyspoke
