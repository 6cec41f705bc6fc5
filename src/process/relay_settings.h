#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"
#include "process/log.h"
#include "request/retry_budget.h"

namespace bramleyspoke {

/// Bounds of leafs' responses, in bytes of their bodies.
struct LeafResponseSizes {
  std::uint32_t max_each = std::uint32_t{2} * 1024 * 1024;
  /// Of all responses that are being read.
  std::uint32_t max_total = std::uint32_t{16} * 1024 * 1024;
};

/// Settings of a daemon that relays requests along routes read from a store.
struct RelaySettings {
  std::string name;
  Endpoint caller_listen;
  Endpoint readiness_listen;
  Endpoint address_listen;
  Endpoint peer_listen;
  /// Additional address for operators. The readiness and address listeners
  /// serve metrics and the state dump as well.
  std::optional<Endpoint> operator_listen;
  std::string failure_domain;
  std::string region;
  /// Region of each failure domain.
  std::map<std::string, std::string, std::less<>> regions;
  Endpoint store;
  /// Peer addresses of some daemons, queried at startup while the store is
  /// unavailable; may be out of date.
  std::vector<Endpoint> seeds;
  /// Processor capacity of this daemon, in thousandths of a core.
  std::uint32_t processor = 1000;
  RetryAllowance repeats;
  /// Time to live of an address answer at the caller; sent truncated to whole
  /// seconds.
  Duration address_time = std::chrono::seconds(1);
  /// Maximum duration of a planned stop.
  Duration stop_bound = std::chrono::seconds(6);
  /// Time within which a change that the store has acknowledged has to be in
  /// use, also if a connection to the store has gone silent.
  Duration apply_bound = std::chrono::seconds(3);
  LeafResponseSizes leaf_responses;
  LogLevel log_level = LogLevel::kInfo;
};

/// Whether `json` contains the settings of a relaying daemon.
bool IsRelaySettings(std::string_view json);

/// Parses and validates JSON with comments; reports every problem.
Result<RelaySettings> ParseRelaySettings(std::string_view json);

}  // namespace bramleyspoke
