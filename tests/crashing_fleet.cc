#include "crashing_fleet.h"

#include <doctest/doctest.h>

#include <thread>
#include <utility>

#include "fleet.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;

constexpr std::chrono::seconds kEventTimeout{30};
// Time in which a leaf that restarts is known to all daemons again.
constexpr std::chrono::milliseconds kSettleTime{500};

std::string ShardName(int shard) {
  return "shard-" + std::to_string(shard);
}

std::string ServiceJson(const std::string& name) {
  return R"({"name":")" + name + R"(","health_path":"/health",)" +
         R"("connection_limit":100,"protocol":"h1","tls":false})";
}

std::string RoutesJson() {
  std::string shards;
  std::string services = ServiceJson("s");
  for (int shard = 0; shard < CrashingFleet::kShards; ++shard) {
    shards += (shard == 0 ? "\"" : ",\"") + ShardName(shard) + "\"";
    services += "," + ServiceJson(ShardName(shard));
  }
  return R"({"version":3,"routes":[)"
         R"({"name":"lookup","host":"h","prefix":"/",)"
         R"("route_kind":"idempotent","timeout_ms":2000,)"
         R"("target_latency_ms":500,"service":"s","max_attempts":2},)"
         R"({"name":"sweep","host":"h","prefix":"/sweep/",)"
         R"("route_kind":"idempotent","timeout_ms":2000,)"
         R"("target_latency_ms":500,"max_attempts":2,"result_limit":5,)"
         R"("min_shard_ratio":0.75,"fanout_services":[)" +
         shards + R"(]}],"services":[)" + services +
         R"(],"limits":{"header_bytes":16384,"body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

}  // namespace

CrashingFleet::CrashingFleet()
    : m_network(Harness::FleetNetwork::Create().value()) {
  m_store.Put("op/config", RoutesJson());
  for (int i = 0; i < kLeafsPerService; ++i) {
    AddLeaf("s", i);
    for (int shard = 0; shard < kShards; ++shard) {
      AddLeaf(ShardName(shard), i);
    }
  }
  const std::string seed =
      "\"" + ToString(RelayProcess::PeersOn(m_network->Caller(0).host)) + "\"";
  for (std::size_t i = 0; i < kDaemons; ++i) {
    const std::string ip = m_network->Caller(i).host;
    const bool is_far = i + 1 == kDaemons;
    m_relays.push_back(std::make_unique<RelayProcess>(
        ip, m_store.Address(), seed,
        is_far ? DaemonLocation{"y", "far"} : DaemonLocation{}));
  }
  WaitForDaemons();
}

void CrashingFleet::AddLeaf(const std::string& service, int index) {
  const std::string id = service + "-" + std::to_string(index);
  m_leafs.push_back(
      std::make_unique<FakePlatformLeaf>(id, m_network->Leaf(m_leafs.size())));
  FakePlatformLeaf& leaf = *m_leafs.back();
  const auto register_leaf = [this, &leaf, id, service] {
    m_store.Put("servers/" + id, leaf.Entry(service));
  };
  register_leaf();
  leaf.RestartAfter(kLeafRestartDelay, register_leaf);
}

void CrashingFleet::WaitForDaemons() {
  for (const auto& relay : m_relays) {
    REQUIRE_MESSAGE(WaitUntil([&] { return relay->Serves(); }, kEventTimeout),
                    relay->Log());
  }
  std::this_thread::sleep_for(kSettleTime);
}

int CrashingFleet::Send(std::size_t relay) {
  const int before = Crashes();
  m_last_answer =
      Relay(relay).Send(std::string(FakePlatformLeaf::kCrashingBody));
  const int crashed = Crashes() - before;
  if (crashed > 0) {
    std::this_thread::sleep_for(kLeafRestartDelay + Duration(kSettleTime));
  }
  return crashed;
}

void CrashingFleet::SendUntilRefused() {
  constexpr std::size_t kMaxRequests = 10;
  for (std::size_t request = 0; Send(request % 2) > 0; ++request) {
    REQUIRE(request < kMaxRequests);
  }
}

int CrashingFleet::Crashes() const {
  int count = 0;
  for (const auto& leaf : m_leafs) {
    count += leaf->Crashes();
  }
  return count;
}

}  // namespace bramleyspoke
