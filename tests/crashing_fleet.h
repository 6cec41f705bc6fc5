#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "connection/http_message.h"
#include "fleet_network.h"
#include "relay_platform.h"
#include "relay_process.h"

namespace bramleyspoke {

/// Three daemons, the store and two kinds of routes to leafs that all crash on
/// the same request: "/lookup" to one service, "/sweep/" to several shards. The
/// last daemon is in another region than the leafs, so it delegates shards.
class CrashingFleet {
 public:
  static constexpr std::size_t kDaemons = 3;
  static constexpr int kShards = 4;
  static constexpr int kLeafsPerService = 6;
  static constexpr Duration kLeafRestartDelay = std::chrono::seconds(2);

  CrashingFleet();

  RelayProcess& Relay(std::size_t index) { return *m_relays.at(index); }
  void LoseStore() { m_store.StopAnswering(); }
  void WaitForDaemons();

  /// Sends the crashing request to a daemon, waits until the leafs are back and
  /// returns how many it has crashed.
  int Send(std::size_t relay);
  /// Sends the request to the first two daemons in turn until it is refused
  /// without having reached a leaf.
  void SendUntilRefused();
  const HttpResponse& LastAnswer() const { return m_last_answer; }

  /// Number of crashes of all leafs so far.
  int Crashes() const;

 private:
  void AddLeaf(const std::string& service, int index);

  std::unique_ptr<Harness::FleetNetwork> m_network;
  FakePlatformStore m_store;
  std::vector<std::unique_ptr<FakePlatformLeaf>> m_leafs;
  std::vector<std::unique_ptr<RelayProcess>> m_relays;
  HttpResponse m_last_answer;
};

}  // namespace bramleyspoke
