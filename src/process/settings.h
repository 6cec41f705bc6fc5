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

/// The platform's key-value service.
struct StoreSettings {
  std::vector<Endpoint> endpoints;
  Duration call_timeout = std::chrono::milliseconds(1000);
};

/// Bounds on what callers may use of a daemon.
struct LimitSettings {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint32_t body_bytes = 1024 * 1024;
  std::uint32_t connections = 10'000;
  /// From the first byte of a request to the end of its body.
  Duration request_time = std::chrono::seconds(10);
  /// Between two requests of a connection.
  Duration idle_time = std::chrono::seconds(60);
  std::uint32_t queries_in_flight = 10'000;
};

/// A planned stop.
struct StopSettings {
  /// Served on after leaving the address answer, as callers keep it so long.
  Duration keep_serving = std::chrono::seconds(12);
  /// The process ends at the latest after this.
  Duration bound = std::chrono::seconds(60);
};

/// All that a daemon is told when it starts.
struct Settings {
  Endpoint caller_listen;
  Endpoint peer_listen;
  /// How others reach this daemon; the addresses listened on by default.
  Endpoint caller_advertised;
  Endpoint peer_advertised;
  std::string failure_domain;
  std::string region;
  /// Peer addresses asked first; members learn of the others from them.
  std::vector<Endpoint> seeds;
  StoreSettings store;
  Endpoint vm_list;
  std::uint32_t traffic_threads = 2;
  LimitSettings limits;
  StopSettings stop;
  LogLevel log_level = LogLevel::kInfo;
};

/// Parses and checks JSON with comments; every fault is reported.
Result<Settings> ParseSettings(std::string_view json);

}  // namespace bramleyspoke
