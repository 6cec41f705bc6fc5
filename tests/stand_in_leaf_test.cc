#include <doctest/doctest.h>

#include <string>

#include "connection/http_client.h"
#include "stand_in/backend_server_host.h"

namespace bramleyspoke {
namespace {

using StandIn::BackendServerHost;

constexpr Duration kCallTimeout = std::chrono::seconds(10);

std::string Call(const Endpoint& server,
                 const std::string& method,
                 const std::string& target,
                 const std::string& body = "") {
  const HttpOutcome outcome = HttpCallAndWait(
      server, HttpRequest{method, target, {}, body}, kCallTimeout);
  return outcome.response ? outcome.response->body : "";
}

std::string SearchBody(const std::string& id) {
  return R"({"attempt_id":")" + id +
         R"(","request_id":"r","service":"svc","version":1,"layout":"a",)"
         R"("shard":0,"idempotent":true,"query":"q","limit":1,)"
         R"("deadline_ms":10000})";
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::unique_ptr<BackendServerHost> MakeHost() {
  const auto config = StandIn::ParseBackendServerConfig(R"({
    "control": "127.0.0.1:28999",
    "leafs": [
      {"listen": "127.0.2.1:28000", "service": "svc", "shards": [0],
       "versions": [{"version": 1, "layout": "a"}]},
      {"listen": "127.0.2.2:28000", "service": "svc", "shards": [0],
       "versions": [{"version": 1, "layout": "a"}]}]})");
  return BackendServerHost::Create(config.value(), 2).value();
}

}  // namespace

TEST_CASE(
    "a fault applies to one leaf of a process, and attempts are logged by "
    "leaf") {
  const auto host = MakeHost();
  const Endpoint first{"127.0.2.1", 28000};
  const Endpoint second{"127.0.2.2", 28000};
  Call(host->Control(), "POST", "/fault",
       R"({"leaf":"127.0.2.1:28000","fault":"refuse","value":"shed"})");
  // This call runs on each leaf's loop after the fault, so that the fault is
  // applied when it returns.
  Call(host->Control(), "GET", "/counts");
  CHECK(Contains(Call(first, "POST", "/search", SearchBody("one")),
                 R"("reason":"shed")"));
  CHECK(Contains(Call(second, "POST", "/search", SearchBody("two")),
                 R"("id":"svc/0/1/0")"));

  const std::string log = Call(host->Control(), "GET", "/log?since=0");
  CHECK(Contains(log, R"("leaf":"127.0.2.1:28000","event":"refused")"));
  CHECK(Contains(log, R"("leaf":"127.0.2.2:28000","event":"finished")"));
  CHECK_FALSE(Contains(log, R"("leaf":"127.0.2.1:28000","event":"started")"));
  const std::string tail = Call(host->Control(), "GET", "/log?since=5");
  CHECK(tail == log.substr(log.find(R"({"seq":5)")));
}

TEST_CASE("an unknown fault is rejected") {
  const auto host = MakeHost();
  const HttpOutcome outcome = HttpCallAndWait(
      host->Control(),
      HttpRequest{"POST", "/fault", {}, R"({"leaf":"*","fault":"sulk"})"},
      kCallTimeout);
  CHECK(outcome.response->status == 400);
}

}  // namespace bramleyspoke
