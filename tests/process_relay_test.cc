#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "child_process.h"
#include "fleet.h"
#include "relay_platform.h"

namespace bramleyspoke {
namespace {

using Harness::ChildProcess;
using Harness::WaitUntil;

constexpr std::chrono::seconds kEventTimeout{30};

const std::string kRoutes =
    R"({"version":3,"routes":[{"name":"lookup","host":"h","prefix":"/",)"
    R"("route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":500,)"
    R"("service":"s","max_attempts":1}],)"
    R"("services":[{"name":"s","health_path":"/health",)"
    R"("connection_limit":100,"protocol":"h1","tls":false}],)"
    R"("limits":{"header_bytes":16384,"body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

// A relay process that listens on several ports of one IP address.
class RelayProcess {
 public:
  RelayProcess(std::string ip, const Endpoint& store, const std::string& seed)
      : m_ip(std::move(ip)),
        m_settings(std::filesystem::temp_directory_path() /
                   ("relay-" + std::to_string(getpid()) + "-" + m_ip)) {
    std::ofstream(m_settings)
        << R"({"relay":{"name":"front-)" << m_ip << R"(","caller_listen":")"
        << ToString(Callers()) << R"(","readiness_listen":")" << m_ip
        << R"(:8108","address_listen":")" << m_ip << R"(:8100","peer_listen":")"
        << m_ip << R"(:8106","operator_listen":")" << m_ip
        << R"(:7380","failure_domain":"z","region":"r","failure_domains":)"
        << R"([{"name":"z","region":"r"}],"store":")" << ToString(store)
        << R"(","seeds":[)" << seed
        << R"(],"processor":{"share":1,"speed":1},"repeats":{"ratio":0.2,"slack":50},"stop_bound_ms":1000}})";
    const char* programs = std::getenv("BRAMLEYSPOKE_BIN");
    REQUIRE(programs != nullptr);
    m_process = ChildProcess::Start({std::string(programs) + "/bramleyspoked",
                                     "--settings", m_settings.string()},
                                    m_settings.string() + ".log")
                    .value();
  }
  ~RelayProcess() {
    m_process.reset();
    std::filesystem::remove(m_settings);
    std::filesystem::remove(m_settings.string() + ".log");
  }

  Endpoint Callers() const { return {m_ip, 8104}; }
  Endpoint Peers() const { return {m_ip, 8106}; }

  HttpResponse Send(const std::string& body) const {
    return SendRequest(
        Callers(),
        {"POST", "/lookup", {{"Host", "h"}, {"Request-Id", "id"}}, body});
  }
  bool Serves() const { return Send("plain").status == 200; }
  std::string Log() const {
    std::ifstream stream(m_settings.string() + ".log");
    return std::string(std::istreambuf_iterator<char>(stream), {});
  }
  std::string Metrics() const {
    return SendRequest({m_ip, 7380}, {"GET", "/metrics", {}, ""}).body;
  }

 private:
  std::string m_ip;
  std::filesystem::path m_settings;
  std::unique_ptr<ChildProcess> m_process;
};

struct FakePlatform {
  FakePlatform() {
    store.Put("op/config", kRoutes);
    for (std::size_t i = 0; i < leafs.size(); ++i) {
      store.Put("servers/leaf-" + std::to_string(i), leafs[i]->Entry("s"));
    }
  }

  FakePlatformStore store;
  std::vector<std::unique_ptr<FakePlatformLeaf>> leafs = MakeLeafs();

 private:
  static std::vector<std::unique_ptr<FakePlatformLeaf>> MakeLeafs() {
    std::vector<std::unique_ptr<FakePlatformLeaf>> leafs;
    for (const char* id : {"leaf-0", "leaf-1", "leaf-2"}) {
      leafs.push_back(std::make_unique<FakePlatformLeaf>(id));
    }
    return leafs;
  }
};

std::string QuotedAddress(const Endpoint& address) {
  return "\"" + ToString(address) + "\"";
}

}  // namespace

TEST_CASE(
    "a relay that starts while the store does not answer serves requests") {
  FakePlatform platform;
  const RelayProcess first("127.0.5.1", platform.store.Address(), "");
  const bool is_serving =
      WaitUntil([&] { return first.Serves(); }, kEventTimeout);
  REQUIRE_MESSAGE(is_serving, first.Log());
  CHECK(first.Metrics().find(R"(what="store_reachable"} 1)") !=
        std::string::npos);
  platform.store.StopAnswering();
  const RelayProcess second("127.0.5.2", platform.store.Address(),
                            QuotedAddress(first.Peers()));
  CHECK(WaitUntil([&] { return second.Serves(); }, kEventTimeout));
  CHECK(first.Serves());
  const auto is_store_unreachable = [](const RelayProcess& relay) {
    return relay.Metrics().find(R"(what="store_reachable"} 0)") !=
           std::string::npos;
  };
  CHECK(WaitUntil([&] { return is_store_unreachable(first); }, kEventTimeout));
}

}  // namespace bramleyspoke
