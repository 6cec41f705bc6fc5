#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet_network.h"
#include "relay_platform.h"
#include "relay_process.h"
#include "silent_proxy.h"

namespace bramleyspoke {

/// Three daemons and the leafs of two shards and of one more service. Daemon 0
/// reaches the leafs over a path of its own, which can be cut.
class CutOffFleet {
 public:
  /// Prefixes of a route to all shards, and of routes to one leaf.
  static constexpr std::string_view kFanOut = "/search/";
  static constexpr std::string_view kSingle = "/lookup/";
  static constexpr std::string_view kNonIdempotent = "/book/";
  static constexpr std::size_t kDaemons = 3;

  CutOffFleet();

  void BeginCut(CutKind kind);
  void EndCut();

  /// Status of a request to a daemon for a path that begins with `prefix`.
  int Status(std::size_t daemon, std::string_view prefix) const;
  /// Whether a daemon's answer to callers names another one's address.
  bool IsNamed(std::size_t daemon, std::size_t at) const;
  std::string Log(std::size_t daemon) const { return m_relays[daemon]->Log(); }
  /// Number of runs of non-idempotent requests at all leafs.
  std::size_t CountRuns(std::string_view body);
  /// Sends a non-idempotent request with this body.
  int Book(std::size_t daemon, const std::string& body) const;

 private:
  std::unique_ptr<Harness::FleetNetwork> m_network;
  FakePlatformStore m_store;
  std::vector<std::unique_ptr<FakePlatformLeaf>> m_leafs;
  /// The path of daemon 0 to each leaf.
  std::vector<std::unique_ptr<SilentProxy>> m_paths;
  std::vector<std::unique_ptr<RelayProcess>> m_relays;
};

}  // namespace bramleyspoke
