#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"

namespace bramleyspoke {

/// Class of a service's requests; a lower value goes first.
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

/// How a service's records are spread over shards; index versions name one.
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
  /// Requests that a leaf runs at a time.
  std::uint32_t slots = 1;
  /// Connections that a leaf takes, from all daemons together.
  std::uint32_t connections = 4;
  /// Daemons that hold connections to the service's leafs.
  std::uint32_t holders = 2;
  /// Most hits a caller may ask for.
  std::uint32_t max_hits = 100;
  /// Most bytes of a merged answer.
  std::uint32_t max_answer_bytes = 1 << 20;
  /// For requests that name no deadline of their own.
  Duration default_deadline = std::chrono::milliseconds(1000);
  /// Share of extra attempts that hedges and retries may add, in per cent.
  double extra_load_percent = 5;
  std::vector<Layout> layouts;

  bool operator==(const ServiceSpec&) const = default;
};

/// Limit of one caller, at one daemon.
struct CallerSpec {
  std::string name;
  std::uint32_t max_in_flight = 0;

  bool operator==(const CallerSpec&) const = default;
};

/// The operators' description of services, shards and limits.
struct Manifest {
  std::vector<ServiceSpec> services;
  std::vector<CallerSpec> callers;
  /// Leafs that get no new work.
  std::vector<Endpoint> leaving;

  bool operator==(const Manifest&) const = default;

  const ServiceSpec* Find(std::string_view service) const;
};

/// Parses and checks JSON with comments; every fault is reported.
Result<Manifest> ParseManifest(std::string_view json);
/// JSON that `ParseManifest` takes back; equal manifests, equal text.
std::string ToJson(const Manifest& manifest);

}  // namespace bramleyspoke
