#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"

namespace bramleyspoke {

/// Priority class of a service's requests; lower values are served first.
enum class ServiceClass {
  kUrgent,
  kInteractive,
  kBatch,
};

std::string_view ToString(ServiceClass service_class);

/// A backend server that holds a copy of a shard.
struct Replica {
  Endpoint leaf;
  std::string failure_domain;
  std::string region;

  bool operator==(const Replica&) const = default;
};

struct Shard {
  std::uint32_t id = 0;
  std::vector<Replica> replicas;

  bool operator==(const Shard&) const = default;
};

/// Distribution of a service's records over shards; each index version refers
/// to a layout.
struct Layout {
  std::string id;
  std::vector<Shard> shards;

  bool operator==(const Layout&) const = default;
};

struct ServiceSpec {
  std::string name;
  ServiceClass service_class = ServiceClass::kInteractive;
  /// False for requests that must run at most once.
  bool idempotent = true;
  /// Number of requests that a leaf executes concurrently.
  std::uint32_t slots = 1;
  /// Number of connections that a leaf accepts from all daemons together.
  std::uint32_t connections = 4;
  /// Number of daemons that hold connections to the service's leafs;
  /// `HolderSetSize` may limit it further.
  std::uint32_t holders = 2;
  /// Maximum number of hits that a caller may request.
  std::uint32_t max_hits = 100;
  /// Maximum size of a merged response, in bytes.
  std::uint32_t max_answer_bytes = 1 << 20;
  /// Deadline of requests that specify none.
  Duration default_deadline = std::chrono::milliseconds(1000);
  /// Limit on retries and hedges, in per cent of the other attempts.
  double extra_load_percent = 5;
  std::vector<Layout> layouts;

  bool operator==(const ServiceSpec&) const = default;
};

/// Limit on one caller's requests in flight at one daemon.
struct CallerSpec {
  std::string name;
  std::uint32_t max_in_flight = 0;

  bool operator==(const CallerSpec&) const = default;
};

/// The operators' description of services, shards and limits.
struct Manifest {
  std::vector<ServiceSpec> services;
  std::vector<CallerSpec> callers;
  /// Draining leafs; they get no new requests.
  std::vector<Endpoint> leaving;

  bool operator==(const Manifest&) const = default;

  const ServiceSpec* Find(std::string_view service) const;
};

/// Parses and validates JSON with comments; reports all problems.
Result<Manifest> ParseManifest(std::string_view json);
/// JSON that `ParseManifest` accepts; equal manifests give equal text.
std::string ToJson(const Manifest& manifest);

}  // namespace bramleyspoke
