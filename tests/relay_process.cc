#include "relay_process.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <utility>

#include "relay_platform.h"

namespace bramleyspoke {

RelayProcess::RelayProcess(std::string ip,
                           const Endpoint& store,
                           const std::string& seeds,
                           const DaemonLocation& location,
                           std::chrono::milliseconds stop_bound,
                           std::string_view repeats)
    : m_ip(std::move(ip)),
      m_settings(std::filesystem::temp_directory_path() /
                 ("relay-" + std::to_string(getpid()) + "-" + m_ip)) {
  std::ofstream(m_settings)
      << R"({"relay":{"name":"front-)" << m_ip << R"(","caller_listen":")"
      << ToString(Callers()) << R"(","readiness_listen":")" << m_ip
      << R"(:8108","address_listen":")" << m_ip << R"(:8100","peer_listen":")"
      << m_ip << R"(:8106","operator_listen":")" << m_ip
      << R"(:7380","failure_domain":")" << location.failure_domain
      << R"(","region":")" << location.region << R"(","failure_domains":)"
      << R"([{"name":"z","region":"r"},{"name":"y","region":"far"}],"store":")"
      << ToString(store) << R"(","seeds":[)" << seeds
      << R"(],"processor":{"share":1,"speed":1},)"
      << R"("repeats":)" << repeats << R"(,"stop_bound_ms":)"
      << stop_bound.count() << "}}";
  Start();
}

RelayProcess::~RelayProcess() {
  m_process.reset();
  std::filesystem::remove(m_settings);
  std::filesystem::remove(m_settings.string() + ".log");
}

void RelayProcess::Start() {
  const char* programs = std::getenv("BRAMLEYSPOKE_BIN");
  REQUIRE(programs != nullptr);
  m_process =
      Harness::ChildProcess::Start({std::string(programs) + "/bramleyspoked",
                                    "--settings", m_settings.string()},
                                   m_settings.string() + ".log")
          .value();
}

void RelayProcess::Restart() {
  m_process.reset();
  Start();
}

HttpResponse RelayProcess::Send(const std::string& body,
                                const std::string& target) const {
  return SendRequest(
      Callers(), {"POST", target, {{"Host", "h"}, {"Request-Id", "id"}}, body});
}

std::string RelayProcess::AddressAnswer() const {
  return SendRequest({m_ip, 8100},
                     {"GET", "/-/resolve?name=h&region=r&zone=z", {}, ""})
      .body;
}

std::string RelayProcess::Log() const {
  std::ifstream stream(m_settings.string() + ".log");
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

std::string RelayProcess::Metrics() const {
  return SendRequest({m_ip, 7380}, {"GET", "/metrics", {}, ""}).body;
}

int RelayProcess::CountStoreCalls(std::string_view kind) const {
  const std::string metrics = Metrics();
  const std::string name = "bramleyspoke_relay_store_calls_total{";
  const std::string label =
      kind.empty() ? std::string() : "kind=\"" + std::string(kind) + "\"";
  int calls = 0;
  for (std::size_t at = metrics.find(name); at != std::string::npos;
       at = metrics.find(name, at + 1)) {
    const std::size_t end = metrics.find("} ", at);
    if (metrics.substr(at, end - at).find(label) != std::string::npos) {
      calls += std::stoi(metrics.substr(end + 2));
    }
  }
  return calls;
}

}  // namespace bramleyspoke
