#include "tool/tool.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <deque>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "connection/event_loop.h"
#include "connection/http_server.h"
#include "stand_in/config_store_server.h"

namespace bramleyspoke {
namespace {

const std::string kManifest = R"({"services": [{"name": "lookup",
  "class": "urgent", "idempotent": false, "slots": 6, "connections": 110,
  "layouts": [{"id": "a", "shards": [{"id": 0, "replicas": [{"leaf":
  "127.1.0.1:7000", "failure_domain": "w1", "region": "windhoek"}]}]}]}]})";

struct ToolResult {
  int code = 0;
  std::string out;
  std::string error;
};

ToolResult Run(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream error;
  const int code = RunTool(arguments, out, error);
  return {code, out.str(), error.str()};
}

/// A daemon that responds to searches with the given responses in order; for
/// status 0 it closes the connection instead.
class ScriptedDaemon final : public HttpHandler {
 public:
  explicit ScriptedDaemon(std::deque<HttpResponse> answers)
      : m_answers(std::move(answers)),
        m_loop(EventLoop::Create()),
        m_server(HttpServer::Create(*m_loop,
                                    Endpoint{"127.0.0.1", 0},
                                    HttpServerLimits{},
                                    *this)
                     .value()) {
    m_loop->Start();
  }
  ~ScriptedDaemon() override { m_loop->Stop(); }

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    const std::lock_guard lock(m_mutex);
    if (exchange->Request().target.rfind("/v1/entries", 0) == 0) {
      exchange->Respond(Answer(
          200, R"({"entries":[{"address":")" + Address() +
                   R"("}],"keep_ms":10000,)" + R"("request_id_prefix":"p~1~)" +
                   std::to_string(m_entry_requests++) + R"(~"})"));
      return;
    }
    m_bodies.insert(exchange->Request().body);
    ++m_searches;
    const HttpResponse answer = m_answers.front();
    m_answers.pop_front();
    if (answer.status == 0) {
      exchange->Abort();
    } else {
      exchange->Respond(answer);
    }
  }

  static HttpResponse Answer(int status, const std::string& body) {
    HttpResponse response;
    response.status = status;
    response.body = body;
    return response;
  }

  std::string Address() const { return ToString(m_server->Address()); }
  std::size_t Searches() const { return m_searches; }
  const std::set<std::string>& Bodies() const { return m_bodies; }

 private:
  std::mutex m_mutex;
  std::deque<HttpResponse> m_answers;
  std::set<std::string> m_bodies;
  std::size_t m_searches = 0;
  std::size_t m_entry_requests = 0;
  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpServer> m_server;
};

HttpResponse Refused(const std::string& verdict, bool has_retry_after) {
  return ScriptedDaemon::Answer(
      503, R"({"request_id":"x","verdict":")" + verdict +
               R"(","reason":"overloaded","detail":"full")" +
               (has_retry_after ? R"(,"retry_after_ms":1})" : "}"));
}

HttpResponse Answered(const std::string& coverage) {
  return ScriptedDaemon::Answer(
      200, R"({"request_id":"x","verdict":"ran","snapshot":{"version":1,)"
           R"("layout":"a"},"missing":[],"hits":[],"coverage":)" +
               coverage + "}");
}

class StoreFixture {
 public:
  StoreFixture()
      : m_loop(EventLoop::Create()),
        m_server(StandIn::ConfigStoreServer::Create(
                     *m_loop,
                     {Endpoint{"127.0.0.1", 0}, Endpoint{"127.0.0.1", 0}})
                     .value()) {
    m_loop->Start();
  }
  ~StoreFixture() { m_loop->Stop(); }
  std::string Address() const { return ToString(m_server->Address()); }

 private:
  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<StandIn::ConfigStoreServer> m_server;
};

/// A file that is deleted with the object.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : m_name("tool_test." + std::to_string(text.size()) + ".json") {
    std::ofstream(m_name) << text;
  }
  ~TemporaryFile() { std::remove(m_name.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  const std::string& Name() const { return m_name; }

 private:
  std::string m_name;
};

}  // namespace

TEST_CASE("the exit code and the output match the outcome of a command line") {
  const TemporaryFile good_file(kManifest);
  const TemporaryFile bad_file(R"({"services": [], "x": 1})");
  const std::string& good = good_file.Name();
  const std::string& bad = bad_file.Name();
  struct Line {
    std::vector<std::string> arguments;
    int code;
    std::string text;
  };
  const std::vector<Line> lines{
      {{}, 2, "Usage"},
      {{"--help"}, 0, "Exit codes"},
      {{"fly"}, 2, "no such command: fly"},
      {{"validate", good}, 0, "valid: 1 services, 1 shards, 1 leafs"},
      {{"validate", good, "--json"}, 0, "\"valid\":true"},
      {{"validate", bad}, 3, "services: expected list of at least 1 objects"},
      {{"validate", bad, "--json"},
       3,
       R"({"path":"x","expected":"a known key)"},
      {{"validate", "absent.json"}, 3, "expected a readable file"},
      {{"validate"}, 2, "FILE: expected a value"},
      {{"publish", good}, 2, "store: expected an IP address and a port"},
      {{"publish", bad, "--store", "127.0.0.1:1"},
       3,
       "x: expected a known key"},
      {{"publish", good, "--store", "127.0.0.1:1"}, 5, "publish id"},
      {{"manifest", "--store", "127.0.0.1:1"}, 5, "no manifest"},
      {{"status", "--daemon", "127.0.0.1:1"}, 5, "no daemon answers"},
      {{"dump", "--daemon", "nowhere"},
       2,
       "daemon: expected an IP address and a port"},
      {{"entries", "s", "--daemon", "127.0.0.1:1"}, 5, "no daemon answers"},
      {{"drain", "--daemon", "127.0.0.1:1"}, 5, "no answer"},
      {{"search", "s", "--daemon", "127.0.0.1:1", "--tries", "1"}, 5, "lost"},
  };
  for (const Line& line : lines) {
    CAPTURE(line.arguments);
    const ToolResult run = Run(line.arguments);
    CHECK(run.code == line.code);
    const std::string all = run.out + run.error;
    CHECK_MESSAGE(all.find(line.text) != std::string::npos, all);
  }
}

TEST_CASE("each command prints its help") {
  for (const char* name : {"validate", "publish", "manifest", "status", "dump",
                           "entries", "search", "drain"}) {
    const ToolResult run = Run({name, "--help"});
    CHECK(run.code == 0);
    CHECK(run.out.find(std::string("Usage: bramleyspoke ") + name) == 0);
    CHECK(run.out.find("--json") != std::string::npos);
  }
}

TEST_CASE("the exit code of a search depends on coverage and verdict") {
  struct Script {
    std::deque<HttpResponse> answers;
    int code;
    std::size_t searches;
  };
  const std::vector<Script> scripts{
      {{Answered("1")}, 0, 1},
      {{Answered("0.95")}, 7, 1},
      {{Refused("not_run", false)}, 5, 1},
      {{Refused("may_have_run", false)}, 6, 1},
      {{Refused("not_run", true), Answered("1")}, 0, 2},
      {{ScriptedDaemon::Answer(0, ""), Answered("1")}, 0, 2},
      {{ScriptedDaemon::Answer(0, ""), Refused("not_run", false)}, 6, 2},
  };
  for (const Script& script : scripts) {
    ScriptedDaemon daemon(script.answers);
    const ToolResult run =
        Run({"search", "lookup", "--daemon", daemon.Address()});
    CAPTURE(run.out);
    CHECK(run.code == script.code);
    CHECK(daemon.Searches() == script.searches);
    // Retries use the same request id, so that the request runs at most once.
    CHECK(daemon.Bodies().size() == 1);
    CHECK(daemon.Bodies().begin()->find("p~1~0~") != std::string::npos);
  }
}

TEST_CASE(
    "a published manifest can be read back; an outdated publish is a "
    "conflict") {
  const StoreFixture store;
  const TemporaryFile published(kManifest);
  const std::string& file = published.Name();
  const ToolResult first =
      Run({"publish", file, "--store", store.Address(), "--expect-generation",
           "0", "--publish-id", "p1"});
  CHECK(first.out == "accepted: generation 1\n");
  CHECK(first.code == 0);

  const ToolResult late =
      Run({"publish", file, "--store", store.Address(), "--expect-generation",
           "0", "--publish-id", "p2"});
  CHECK(late.code == 4);
  const ToolResult again =
      Run({"publish", file, "--store", store.Address(), "--expect-generation",
           "0", "--publish-id", "p1"});
  CHECK(again.out == "accepted: generation 1\n");

  const ToolResult source =
      Run({"manifest", "--store", store.Address(), "--source"});
  CHECK(source.out.find(R"({"services":[{"name":"lookup","class":"urgent")") ==
        0);
  const ToolResult missing =
      Run({"manifest", "--store", store.Address(), "--generation", "7"});
  CHECK(missing.code == 5);
}

}  // namespace bramleyspoke
