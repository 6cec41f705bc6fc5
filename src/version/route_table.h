#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "base/time.h"

namespace bramleyspoke {

/// Whether a request may be executed more than once.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
};

inline constexpr EnumNames<RequestKind, 2> kRequestKindNames{{{
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
}}};

/// A service and its weight among the services that share a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Destination and limits of the requests under one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  /// Path prefix; begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kIdempotent;
  /// Services among which the requests are distributed; empty if `shards` is
  /// not.
  std::vector<WeightedService> services;
  /// Services that each hold one shard; a request is sent to all of them.
  std::vector<std::string> shards;
  /// Maximum time until a request is answered.
  Duration timeout{0};
  /// Response time up to which a response has its full value for the caller.
  Duration target_latency{0};
  /// Maximum number of leafs of one service to which a request may be sent.
  std::uint32_t max_attempts = 1;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Maximum number of records in a merged response.
  std::uint32_t result_limit = 0;
  /// Minimum share of the shards that a merged response covers, 0 to 1.
  double min_coverage = 0;

  bool IsFanOut() const { return !shards.empty(); }
};

/// A service to which routes refer.
struct RoutedService {
  std::string name;
  std::string health_path;
  /// Number of connections that each leaf of the service accepts from all
  /// daemons together.
  std::uint32_t connection_limit = 1;
};

/// Limits on a caller's requests and connections.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint32_t body_bytes = 1024 * 1024;
  /// Maximum time from the first byte of a request to the end of its body;
  /// daemons apply a minimum.
  Duration header_time = std::chrono::seconds(10);
  /// Time after which an idle connection is closed.
  Duration idle_timeout = std::chrono::seconds(60);
};

/// One version of the routes; immutable.
class RouteTable {
 public:
  RouteTable(std::uint64_t version,
             std::vector<Route> routes,
             std::vector<RoutedService> services,
             CallerLimits limits);

  std::uint64_t Version() const { return m_version; }
  const CallerLimits& Limits() const { return m_limits; }
  const std::vector<Route>& Routes() const { return m_routes; }
  const std::map<std::string, RoutedService, std::less<>>& Services() const {
    return m_services;
  }
  /// The route of `host` with the longest prefix of `path`; null if none.
  const Route* Find(std::string_view host, std::string_view path) const;

 private:
  using PrefixMap = std::map<std::string, const Route*, std::less<>>;

  std::uint64_t m_version;
  std::vector<Route> m_routes;
  std::map<std::string, RoutedService, std::less<>> m_services;
  CallerLimits m_limits;
  std::map<std::string, PrefixMap, std::less<>> m_by_host;
};

}  // namespace bramleyspoke
