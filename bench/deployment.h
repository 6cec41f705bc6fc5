#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "history.h"
#include "version/manifest.h"

namespace bramleyspoke::Harness {

/// A service of a deployment: its size and the behaviour of its leafs.
struct ServicePlan {
  std::string name;
  ServiceClass service_class = ServiceClass::kInteractive;
  bool is_idempotent = true;
  std::uint32_t shards = 1;
  std::uint32_t replicas = 2;
  std::uint32_t slots = 2;
  std::uint32_t connections = 25;
  std::uint32_t holders = 2;
  double extra_load_percent = 5;
  /// Maximum number of attempts waiting for a slot at a leaf.
  std::uint32_t queue = 1000;
  std::uint32_t hits_per_shard = 3;
  Duration new_connection = std::chrono::milliseconds(6);
  Duration service_time = std::chrono::milliseconds(4);
  double jitter = 0.3;
  double tail_share = 0.005;
  double tail_factor = 8;
  Duration cold_time = Duration::zero();
  double cold_factor = 5;
  Duration status_lag = std::chrono::milliseconds(500);
  Duration default_deadline = std::chrono::milliseconds(1000);
  /// Index of the first replica's region; see `is_multi_region` for the others.
  std::uint32_t home_region = 0;
  /// Whether the replicas are in different regions.
  bool is_multi_region = false;
};

/// A leaf of a deployment; services and regions are given by their index.
struct LeafPlan {
  std::size_t service = 0;
  std::uint32_t shard = 0;
  std::uint32_t replica = 0;
  Endpoint address;
  std::uint32_t region = 0;
  std::uint32_t failure_domain = 0;
};

/// Services, regions and failure domains of one operator.
struct Deployment {
  std::vector<std::string> regions;
  std::uint32_t domains_per_region = 3;
  /// One-way network latency between failure domains of a region, and between
  /// regions.
  Duration domain_latency = std::chrono::microseconds(500);
  Duration region_latency = std::chrono::milliseconds(20);
  std::vector<ServicePlan> services;
  /// Index version and layout served at the start.
  IndexVersion version{41, "a"};

  std::string FailureDomain(std::uint32_t region, std::uint32_t domain) const;
};

/// Deployment with the sizes of Kalahari Vault Systems.
Deployment MakeKalahari();
/// Small deployment with one idempotent and one non-idempotent service.
Deployment MakeSmallDeployment();

/// The deployment's leafs on addresses 127.`network`.x.y.
std::vector<LeafPlan> MakeLeafs(const Deployment& deployment, int network);
Manifest MakeManifest(const Deployment& deployment,
                      const std::vector<LeafPlan>& leafs);
/// Configuration of a `backend_server` process with the leafs `from` to `to`,
/// without `to`.
std::string MakeLeafConfig(const Deployment& deployment,
                           const std::vector<LeafPlan>& leafs,
                           std::size_t from,
                           std::size_t to,
                           const Endpoint& control);
std::map<std::string, ServiceProperties> MakeServiceProperties(
    const Deployment& deployment);

}  // namespace bramleyspoke::Harness
