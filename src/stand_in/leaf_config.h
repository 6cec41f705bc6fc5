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

/// Behaviour of one leaf when nothing is wrong with it.
struct LeafConfig {
  Endpoint listen;
  std::string service;
  std::vector<std::uint32_t> shards;
  std::vector<IndexVersion> versions;
  /// Attempts run at a time.
  std::uint32_t slots = 2;
  /// Attempts that wait for a slot; more are refused.
  std::uint32_t queue = 1000;
  std::uint32_t connections = 25;
  /// Hits found per shard.
  std::uint32_t hits = 10;
  /// Before the first request of a connection is read.
  Duration new_connection = Duration::zero();
  /// Time in a slot.
  Duration service_time = std::chrono::milliseconds(2);
  /// Time outside of a slot, added to each answer.
  Duration latency = Duration::zero();
  /// Part of the service time that varies evenly to both sides, 0 to 1.
  double jitter = 0;
  /// Share of the attempts that take `tail_factor` times as long.
  double tail_share = 0;
  double tail_factor = 10;
  /// After a start, attempts take `cold_factor` times as long.
  Duration cold_time = Duration::zero();
  double cold_factor = 5;
  /// Age up to which reported load and status are repeated.
  Duration status_lag = Duration::zero();
  std::uint64_t seed = 1;

  /// Whether the leaf has the shard and version that `attempt` asks for.
  bool Serves(const Attempt& attempt) const;
};

/// One process full of leafs.
struct BackendServerConfig {
  Endpoint control;
  std::vector<LeafConfig> leafs;
};

Result<BackendServerConfig> ParseBackendServerConfig(std::string_view json);

}  // namespace bramleyspoke::StandIn
