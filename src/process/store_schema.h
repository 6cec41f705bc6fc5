#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"
#include "connection/http_message.h"
#include "version/crash_suspect.h"
#include "version/daemon_entry.h"
#include "version/leaf_registration.h"
#include "version/route_table.h"

namespace bramleyspoke {

enum class StoreKeyKind {
  kRoutes,
  kLeaf,
  kDaemon,
  kCrashSuspect,
  kOther,
};

/// Keys and value formats of the entries in the platform's store.
class StoreSchema {
 public:
  virtual ~StoreSchema() = default;

  virtual StoreKeyKind KindOf(std::string_view key) const = 0;
  /// The name of the leaf or daemon, as contained in the key.
  virtual std::string NameOf(std::string_view key) const = 0;
  virtual Result<std::shared_ptr<const RouteTable>> ReadRoutes(
      std::string_view value) const = 0;
  virtual Result<LeafRegistration> ReadLeaf(std::string_view name,
                                            std::string_view value) const = 0;
  virtual Result<DaemonEntry> ReadDaemon(std::string_view value) const = 0;
  virtual std::string DaemonKey(std::string_view name) const = 0;
  virtual std::string WriteDaemon(const DaemonEntry& daemon) const = 0;
  virtual Result<CrashSuspect> ReadCrashSuspect(
      std::string_view value) const = 0;
  virtual std::string CrashSuspectKey(const CrashSuspect& suspect) const = 0;
  virtual std::string WriteCrashSuspect(const CrashSuspect& suspect) const = 0;
};

/// Formats of the HTTP queries for daemon addresses, from callers, and for
/// readiness, from the platform.
class DiscoveryProtocol {
 public:
  virtual ~DiscoveryProtocol() = default;

  /// The region given in a query for addresses; nothing if the request is not
  /// such a query.
  virtual std::optional<std::string> ReadAddressQuery(
      const HttpRequest& request) const = 0;
  virtual HttpResponse MakeAddressAnswer(const std::vector<Endpoint>& addresses,
                                         Duration time_to_live) const = 0;
  virtual bool IsReadinessQuery(const HttpRequest& request) const = 0;
  virtual HttpResponse MakeReadinessAnswer(bool is_ready) const = 0;
};

}  // namespace bramleyspoke
