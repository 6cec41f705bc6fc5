#include "proxied_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "fleet.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;

constexpr std::chrono::seconds kEventTimeout{30};
constexpr int kLeafs = 3;
// A leaf's connections suffice for this many holders. Only they watch the
// store.
constexpr std::size_t kHolders = 3;
// Time until roles no longer change, and until the watch of a daemon that has
// become a standby goes to a peer.
constexpr std::chrono::seconds kRoleTime{3};
constexpr std::chrono::seconds kSourceTime{2};

std::string LeafId(std::size_t index) {
  return "leaf-" + std::to_string(index);
}

std::string RouteJson(std::string_view prefix) {
  const std::string text(prefix);
  return R"({"name":"r)" + text + R"(","host":"h","prefix":")" + text +
         R"(","route_kind":"idempotent","timeout_ms":2000,)"
         R"("target_latency_ms":500,"service":"s","max_attempts":1})";
}

std::string RoutesJson(int version, const std::string& routes) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes +
         R"(],"services":[{"name":"s","health_path":"/health",)"
         R"("connection_limit":20,"protocol":"h1","tls":false}],)"
         R"("limits":{"header_bytes":16384,"body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

}  // namespace

ProxiedFleet::ProxiedFleet(std::size_t daemons)
    : m_network(Harness::FleetNetwork::Create().value()) {
  WriteRoutes(1, {});
  for (std::size_t i = 0; i < kLeafs; ++i) {
    m_leafs.push_back(std::make_unique<FakePlatformLeaf>(LeafId(i)));
    m_leaf_proxies.push_back(SilentProxy::Create(m_leafs.back()->Address()));
  }
  RegisterLeafs();
  const std::string seed =
      "\"" + ToString(RelayProcess::PeersOn(m_network->Caller(0).host)) + "\"";
  for (std::size_t i = 0; i < daemons; ++i) {
    m_proxies.push_back(SilentProxy::Create(m_store.Address()));
    m_relays.push_back(std::make_unique<RelayProcess>(
        m_network->Caller(i).host, m_proxies.back()->Address(), seed));
  }
  WaitUntilSettled();
}

std::size_t ProxiedFleet::CountHolders() const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < Size(); ++i) {
    count += IsHolder(i) ? 1 : 0;
  }
  return count;
}

bool ProxiedFleet::IsHolder(std::size_t daemon) const {
  return m_relays.at(daemon)->Metrics().find(R"(what="holder"} 1)") !=
         std::string::npos;
}

void ProxiedFleet::WriteRoutes(int version,
                               const std::vector<std::string>& prefixes) {
  std::string routes = RouteJson(kBasePrefix);
  for (const std::string& prefix : prefixes) {
    routes += "," + RouteJson(prefix);
  }
  m_store.Put("op/config", RoutesJson(version, routes));
}

void ProxiedFleet::RegisterLeafs() {
  for (std::size_t i = 0; i < m_leafs.size(); ++i) {
    m_store.Put("servers/" + LeafId(i),
                m_leafs[i]->Entry("s", m_leaf_proxies[i]->Address()));
  }
}

int ProxiedFleet::Status(std::size_t daemon, std::string_view prefix) const {
  return m_relays.at(daemon)->Send("plain", std::string(prefix)).status;
}

void ProxiedFleet::AnswerWatches() {
  RegisterLeafs();
  REQUIRE(m_store.OpenWatches() == 0);
  // The responses pass the proxies.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
}

void ProxiedFleet::WaitForWatches() {
  const std::size_t expected = std::min(Size(), kHolders);
  REQUIRE(WaitUntil([&] { return m_store.OpenWatches() == expected; },
                    kEventTimeout));
}

void ProxiedFleet::Silence(std::size_t daemon,
                           SilenceKind kind,
                           std::string_view text) {
  m_proxies.at(daemon)->SilenceOpen(kind, text);
}

void ProxiedFleet::SilenceAll(SilenceKind kind, std::string_view text) {
  for (const auto& proxy : m_proxies) {
    REQUIRE(proxy->SilenceOpen(kind, text) > 0);
  }
}

void ProxiedFleet::SilenceLeafs(SilenceKind kind) {
  for (const auto& proxy : m_leaf_proxies) {
    REQUIRE(proxy->SilenceOpen(kind) > 0);
  }
}

// All daemons serve and know each other, and no change is on its way.
void ProxiedFleet::WaitUntilSettled() {
  const std::string all =
      R"(what="daemons"} )" + std::to_string(m_relays.size());
  for (std::size_t i = 0; i < Size(); ++i) {
    REQUIRE_MESSAGE(
        WaitUntil([&] { return Status(i, kBasePrefix) == 200; }, kEventTimeout),
        m_relays[i]->Log());
    REQUIRE(WaitUntil(
        [&] { return m_relays[i]->Metrics().find(all) != std::string::npos; },
        kEventTimeout));
  }
  std::this_thread::sleep_for(kRoleTime);
  RegisterLeafs();
  std::this_thread::sleep_for(kSourceTime);
  WaitForWatches();
}

}  // namespace bramleyspoke
