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

/// Whether a request may run more than once.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
};

inline constexpr EnumNames<RequestKind, 2> kRequestKindNames{{{
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
}}};

/// A service and its share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Where requests under one host and path prefix go, and what they may cost.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kIdempotent;
  /// Services that share the requests; empty if `shards` is not.
  std::vector<WeightedService> services;
  /// Services that each hold one shard; a request goes to all of them.
  std::vector<std::string> shards;
  /// A request is answered at the latest after this.
  Duration timeout{0};
  /// An answer within this time is worth most to the caller.
  Duration target_latency{0};
  /// Leafs of one service that one request may be sent to.
  std::uint32_t max_attempts = 1;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Records that a merged answer holds.
  std::uint32_t result_limit = 0;
  /// Least share of the shards that a merged answer covers, 0 to 1.
  double min_coverage = 0;

  bool IsFanOut() const { return !shards.empty(); }
};

/// A service that routes name.
struct RoutedService {
  std::string name;
  std::string health_path;
  /// Connections that one of its leafs accepts from all daemons together.
  std::uint32_t connection_limit = 1;
};

/// Bounds on what a caller may send and on how long it may idle.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint32_t body_bytes = 1024 * 1024;
  Duration header_time = std::chrono::seconds(10);
  Duration idle_time = std::chrono::seconds(60);
};

/// One version of the routes; immutable once shared.
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
