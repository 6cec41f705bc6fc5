#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"
#include "connection/backend_server.h"

namespace bramleyspoke::StandIn {

/// Settings of one leaf; its behaviour without faults.
struct LeafConfig {
  Endpoint listen;
  std::string service;
  std::vector<std::uint32_t> shards;
  std::vector<IndexVersion> versions;
  /// Attempts that run at the same time.
  std::uint32_t slots = 2;
  /// Attempts that can wait for a slot; further ones are refused.
  std::uint32_t queue = 1000;
  std::uint32_t connections = 25;
  /// Hits found per shard.
  std::uint32_t hits = 10;
  /// Delay before the first request of a new connection is read.
  Duration new_connection = Duration::zero();
  /// Time that an attempt occupies a slot.
  Duration service_time = std::chrono::milliseconds(2);
  /// Delay of each response after its attempt has freed the slot.
  Duration latency = Duration::zero();
  /// Share of the service time, 0 to 1, by which it varies uniformly up and
  /// down.
  double jitter = 0;
  /// Share of the attempts that take `tail_factor` times as long.
  double tail_share = 0;
  double tail_factor = 10;
  /// Time after a start in which attempts take `cold_factor` times as long.
  Duration cold_time = Duration::zero();
  double cold_factor = 5;
  /// Age up to which load and status are reported from a cache.
  Duration status_lag = Duration::zero();
  std::uint64_t seed = 1;

  /// Whether the leaf has the service, shard and version of `attempt`.
  bool Serves(const Attempt& attempt) const;
};

/// Settings of a process that runs leafs.
struct BackendServerConfig {
  Endpoint control;
  std::vector<LeafConfig> leafs;
};

Result<BackendServerConfig> ParseBackendServerConfig(std::string_view json);

}  // namespace bramleyspoke::StandIn
