#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"
#include "process/log.h"
#include "request/repeat_budget.h"

namespace bramleyspoke {

/// Settings of a daemon that relays requests along routes from a store.
struct RelaySettings {
  std::string name;
  Endpoint caller_listen;
  Endpoint readiness_listen;
  Endpoint address_listen;
  Endpoint peer_listen;
  /// Metrics and the state dump; none if absent.
  std::optional<Endpoint> operator_listen;
  std::string failure_domain;
  std::string region;
  /// Region of each failure domain.
  std::map<std::string, std::string, std::less<>> regions;
  Endpoint store;
  /// Peer addresses of some daemons, to ask while the store is away at a start;
  /// may be out of date.
  std::vector<Endpoint> seeds;
  /// What this daemon may use of a core, in thousandths.
  std::uint32_t processor = 1000;
  RepeatAllowance repeats;
  /// How long callers keep an address answer, in whole seconds.
  Duration address_time = std::chrono::seconds(1);
  /// A planned stop is over by then.
  Duration stop_bound = std::chrono::seconds(6);
  LogLevel log_level = LogLevel::kInfo;
};

/// Whether `json` holds settings of this kind.
bool IsRelaySettings(std::string_view json);

/// Parses and checks JSON with comments; every fault is reported.
Result<RelaySettings> ParseRelaySettings(std::string_view json);

}  // namespace bramleyspoke
