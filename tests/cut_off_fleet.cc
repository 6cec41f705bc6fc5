#include "cut_off_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <thread>

#include "fleet.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;

constexpr std::chrono::seconds kEventTimeout{30};
// Time until roles no longer change.
constexpr std::chrono::seconds kRoleTime{3};
constexpr std::size_t kLeafsOfService = 2;

std::string RouteJson(std::string_view prefix,
                      std::string_view kind,
                      std::string_view target) {
  const std::string text(prefix);
  return R"({"name":"r)" + text + R"(","host":"h","prefix":")" + text +
         R"(","route_kind":")" + std::string(kind) +
         R"(","timeout_ms":2000,"target_latency_ms":500,)" +
         std::string(target) + R"(,"max_attempts":2})";
}

std::string ServiceJson(std::string_view name) {
  return R"({"name":")" + std::string(name) +
         R"(","health_path":"/health","connection_limit":40,)"
         R"("protocol":"h1","tls":false})";
}

std::string RoutesJson() {
  constexpr std::string_view kShards =
      R"("fanout_services":["s0","s1"],"min_shard_ratio":1,"result_limit":5)";
  return R"({"version":1,"routes":[)" +
         RouteJson(CutOffFleet::kFanOut, "idempotent", kShards) + "," +
         RouteJson(CutOffFleet::kSingle, "idempotent", R"("service":"one")") +
         "," +
         RouteJson(CutOffFleet::kNonIdempotent, "non_idempotent",
                   R"("service":"one")") +
         R"(],"services":[)" + ServiceJson("s0") + "," + ServiceJson("s1") +
         "," + ServiceJson("one") +
         R"(],"limits":{"header_bytes":16384,"body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

}  // namespace

CutOffFleet::CutOffFleet()
    : m_network(Harness::FleetNetwork::Create().value()) {
  m_store.Put("op/config", RoutesJson());
  std::map<std::string, std::string> view;
  for (const char* service : {"s0", "s1", "one"}) {
    for (std::size_t i = 0; i < kLeafsOfService; ++i) {
      const std::string id = std::string(service) + "-" + std::to_string(i);
      m_leafs.push_back(std::make_unique<FakePlatformLeaf>(id));
      m_paths.push_back(SilentProxy::Create(m_leafs.back()->Address()));
      m_store.Put("servers/" + id, m_leafs.back()->Entry(service));
      view["servers/" + id] =
          m_leafs.back()->Entry(service, m_paths.back()->Address());
    }
  }
  const Endpoint view_store = m_store.ServeView(std::move(view));
  const std::string seed =
      "\"" + ToString(RelayProcess::PeersOn(m_network->Caller(0).host)) + "\"";
  for (std::size_t i = 0; i < kDaemons; ++i) {
    m_relays.push_back(std::make_unique<RelayProcess>(
        m_network->Caller(i).host, i == 0 ? view_store : m_store.Address(),
        seed));
  }
  for (std::size_t i = 0; i < kDaemons; ++i) {
    REQUIRE_MESSAGE(
        WaitUntil([&] { return Status(i, kFanOut) == 200; }, kEventTimeout),
        Log(i));
    REQUIRE(WaitUntil([&] { return IsNamed(2, i); }, kEventTimeout));
  }
  std::this_thread::sleep_for(kRoleTime);
}

void CutOffFleet::BeginCut(CutKind kind) {
  for (const auto& path : m_paths) {
    path->BeginCut(kind);
  }
}

void CutOffFleet::EndCut() {
  for (const auto& path : m_paths) {
    path->EndCut();
  }
}

int CutOffFleet::Status(std::size_t daemon, std::string_view prefix) const {
  return m_relays[daemon]->Send("plain", std::string(prefix)).status;
}

int CutOffFleet::Book(std::size_t daemon, const std::string& body) const {
  return m_relays[daemon]->Send(body, std::string(kNonIdempotent)).status;
}

bool CutOffFleet::IsNamed(std::size_t daemon, std::size_t at) const {
  return m_relays[at]->AddressAnswer().find(
             ToString(m_relays[daemon]->Callers())) != std::string::npos;
}

std::size_t CutOffFleet::CountRuns(std::string_view body) {
  std::size_t runs = 0;
  for (const auto& leaf : m_leafs) {
    const auto arrivals = leaf->Arrivals();
    runs += static_cast<std::size_t>(std::count_if(
        arrivals.begin(), arrivals.end(),
        [&](const auto& arrival) { return arrival.body == body; }));
  }
  return runs;
}

}  // namespace bramleyspoke
