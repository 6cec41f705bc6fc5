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

/// Daemons that each reach the store through a proxy, and a few leafs of one
/// service behind proxies. Beyond three, daemons are standbys, which follow the
/// store through a holder.
class ProxiedFleet {
 public:
  /// Prefix of a route that each version has.
  static constexpr std::string_view kBasePrefix = "/base/";

  explicit ProxiedFleet(std::size_t daemons);

  std::size_t Size() const { return m_relays.size(); }
  RelayProcess& Relay(std::size_t index) { return *m_relays.at(index); }
  FakePlatformStore& Store() { return m_store; }
  bool IsHolder(std::size_t daemon) const;
  /// Number of daemons that are holders.
  std::size_t CountHolders() const;

  /// Writes a version whose routes have the base prefix and `prefixes`.
  void WriteRoutes(int version, const std::vector<std::string>& prefixes);
  /// Writes the leafs' entries again.
  void RegisterLeafs();
  /// Status of a request for a path that begins with `prefix`.
  int Status(std::size_t daemon, std::string_view prefix) const;

  /// Answers all watches by a change; the daemons send the next ones after a
  /// delay.
  void AnswerWatches();
  void WaitForWatches();
  /// Silences the connections of one daemon, or of all, on which it has sent
  /// `text`.
  void Silence(std::size_t daemon, SilenceKind kind, std::string_view text);
  void SilenceAll(SilenceKind kind, std::string_view text);
  /// Silences the daemons' connections to all leafs.
  void SilenceLeafs(SilenceKind kind);
  /// Resets all connections of one daemon to the store.
  void Reset(std::size_t daemon) { m_proxies.at(daemon)->ResetOpen(); }

 private:
  void WaitUntilSettled();

  std::unique_ptr<Harness::FleetNetwork> m_network;
  FakePlatformStore m_store;
  std::vector<std::unique_ptr<FakePlatformLeaf>> m_leafs;
  std::vector<std::unique_ptr<SilentProxy>> m_leaf_proxies;
  std::vector<std::unique_ptr<SilentProxy>> m_proxies;
  std::vector<std::unique_ptr<RelayProcess>> m_relays;
};

}  // namespace bramleyspoke
