#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <utility>
#include <vector>

#include "connection/event_loop.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "manual_loop.h"
#include "process/caller_api.h"
#include "process/freshness_lease.h"
#include "process/search_router.h"
#include "router_fakes.h"

namespace bramleyspoke {
namespace {

constexpr std::size_t kHeaderLimit = 1024;
constexpr std::size_t kBodyLimit = 2048;

// Completes each search at once and counts the searches that run.
class CountingExecutor final : public SearchExecutor {
 public:
  void Execute(QueryNumber, SearchRequest, Done done) override {
    ++runs;
    SearchOutcome outcome;
    outcome.answer = SearchAnswer{};
    outcome.verdict = Verdict::kRan;
    done(std::move(outcome));
  }
  void OnCallerDisconnected(const std::string&, QueryNumber) override {}

  int runs = 0;
};

class FakeActions final : public OperatorActions {
 public:
  void Dump(std::function<void(std::string)> done) override { done("{}"); }
  std::string Status() override { return "{}"; }
  std::string Metrics() override { return "up 1\n"; }
  bool IsReady() const override { return true; }
  bool IsStopping() const override { return false; }
  void BeginStop() override {}
  bool SetLogLevel(const std::string& name) override { return name == "info"; }
};

std::shared_ptr<const RoutingTable> MakeTable() {
  auto table = std::make_shared<RoutingTable>();
  auto route = std::make_shared<ServiceRoute>();
  route->spec.name = "lookup";
  route->spec.max_hits = 50;
  route->is_held_here = true;
  table->generation = 1;
  table->is_confirmed = true;
  table->services["lookup"] = std::move(route);
  return table;
}

// A daemon's caller interface on loopback, with fakes for what it depends on.
class ApiFixture {
 public:
  ApiFixture() {
    m_lease.Renew(m_clock.Now());
    m_router.SetTable(MakeTable());
    HttpServerLimits limits;
    limits.header_bytes = kHeaderLimit;
    limits.body_bytes = kBodyLimit;
    limits.request_timeout = std::chrono::milliseconds(100);
    m_server =
        HttpServer::Create(*m_loop, Endpoint{"127.0.0.1", 0}, limits, m_api)
            .value();
    m_loop->Start();
  }
  ~ApiFixture() { m_loop->Stop(); }

  HttpResponse Call(const HttpRequest& request) {
    const HttpOutcome outcome =
        HttpCallAndWait(m_server->Address(), request, std::chrono::seconds(10));
    REQUIRE(outcome.response);
    return *outcome.response;
  }

  // Sends the bytes unchanged and reads until the server closes the connection.
  std::string SendRaw(const std::string& bytes, bool is_half_closed) {
    const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_server->Address().port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    REQUIRE(connect(socket_fd, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
    REQUIRE(send(socket_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
    if (is_half_closed) {
      shutdown(socket_fd, SHUT_WR);
    }
    std::string answer;
    char part[4096];
    ssize_t size = 0;
    while ((size = recv(socket_fd, part, sizeof(part), 0)) > 0) {
      answer.append(part, static_cast<std::size_t>(size));
    }
    close(socket_fd);
    return answer;
  }

  int Runs() const { return m_executor.runs; }

 private:
  std::unique_ptr<EventLoop> m_loop = EventLoop::Create();
  ManualClock m_clock;
  FreshnessLease m_lease;
  FakePeers m_peers;
  CountingExecutor m_executor;
  NullObserver m_observer;
  FakeActions m_actions;
  SearchRouter m_router{RouterContext{*m_loop, m_clock, m_lease, m_peers,
                                      m_executor, m_observer, DaemonAddress{},
                                      10, 0}};
  CallerApi m_api{m_router, m_actions};
  std::unique_ptr<HttpServer> m_server;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("an invalid search is refused as not run, with what was expected") {
  struct Row {
    std::string name;
    std::string body;
    int status;
    std::string expected_text;
  };
  const std::vector<Row> rows = {
      {"empty", "", 400, "a JSON object"},
      {"not JSON", "{\"service\":", 400, "a JSON object"},
      {"not an object", "[1]", 400, "a JSON object"},
      {"deep nesting", std::string(1000, '['), 400, "a JSON object"},
      {"no service", "{}", 400, "service"},
      {"service of a wrong type", R"({"service":7})", 400, "service"},
      {"query of a wrong type", R"({"service":"lookup","query":[]})", 400,
       "query"},
      {"limit of 0", R"({"service":"lookup","limit":0})", 400, "limit"},
      {"limit over the service's", R"({"service":"lookup","limit":51})", 400,
       "at most 50"},
      {"deadline of 0", R"({"service":"lookup","deadline_ms":0})", 400,
       "deadline_ms"},
      {"deadline with a fraction", R"({"service":"lookup","deadline_ms":1.5})",
       400, "deadline_ms"},
      {"two invalid fields", R"({"service":1,"limit":"x"})", 400, "; limit"},
      {"unknown service", R"({"service":"x"})", 404, "unknown_service"},
      {"body over the limit",
       R"({"service":"lookup","query":")" + std::string(kBodyLimit, 'q') +
           "\"}",
       413, "bad_request"},
  };
  ApiFixture fixture;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const HttpResponse response =
        fixture.Call(HttpRequest{"POST", "/v1/search", {}, row.body});
    CHECK(response.status == row.status);
    CHECK(Contains(response.body, R"("verdict":"not_run")"));
    CHECK(Contains(response.body, row.expected_text));
  }
  CHECK(fixture.Runs() == 0);
  CHECK(fixture
            .Call(HttpRequest{
                "POST", "/v1/search", {}, R"({"service":"lookup"})"})
            .status == 200);
  CHECK(fixture.Runs() == 1);
}

TEST_CASE(
    "incomplete or invalid requests are refused and their connection closed") {
  const std::string head = "POST /v1/search HTTP/1.1\r\nHost: a\r\n";
  struct Row {
    std::string name;
    std::string bytes;
    bool is_half_closed;
    std::string expected_text;
  };
  const std::vector<Row> rows = {
      {"not HTTP", "hello there\r\n\r\n", false, "HTTP/1.1 400"},
      {"header over the limit",
       head + "X-Large: " + std::string(kHeaderLimit, 'h') + "\r\n\r\n", false,
       "HTTP/1.1 413"},
      {"length that is not a number", head + "Content-Length: x\r\n\r\n", false,
       "HTTP/1.1 400"},
      {"incomplete header, then a timeout", head, false, "HTTP/1.1 408"},
      {"incomplete body, then a timeout",
       head + "Content-Length: 9\r\n\r\n{\"s", false, "HTTP/1.1 408"},
      {"incomplete body, then the end of the stream",
       head + "Content-Length: 9\r\n\r\n{\"s", true, "HTTP/1.1 400"},
  };
  ApiFixture fixture;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const std::string answer = fixture.SendRaw(row.bytes, row.is_half_closed);
    CHECK(Contains(answer, row.expected_text));
    CHECK(Contains(answer, R"("verdict":"not_run")"));
  }
  CHECK(fixture.Runs() == 0);
}

TEST_CASE("each path accepts its method and rejects others") {
  struct Row {
    std::string method;
    std::string target;
    std::string body;
    int status;
  };
  const std::vector<Row> rows = {
      {"GET", "/health", "", 200},
      {"GET", "/ready", "", 200},
      {"GET", "/metrics", "", 200},
      {"GET", "/dump", "", 200},
      {"GET", "/v1/status", "", 200},
      {"GET", "/v1/entries?service=lookup", "", 200},
      {"GET", "/v1/entries?service=x", "", 404},
      {"GET", "/v1/entries", "", 404},
      {"POST", "/v1/drain", "", 202},
      {"PUT", "/v1/log-level", R"({"level":"info"})", 200},
      {"PUT", "/v1/log-level", R"({"level":"loud"})", 400},
      {"PUT", "/v1/log-level", "loud", 400},
      {"GET", "/v1/search", "", 405},
      {"DELETE", "/dump", "", 405},
      {"GET", "/nowhere", "", 404},
  };
  ApiFixture fixture;
  for (const Row& row : rows) {
    CAPTURE(row.method);
    CAPTURE(row.target);
    CHECK(fixture.Call(HttpRequest{row.method, row.target, {}, row.body})
              .status == row.status);
  }
}

}  // namespace bramleyspoke
