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

struct ToolRun {
  int code = 0;
  std::string out;
  std::string error;
};

ToolRun Run(const std::vector<std::string>& words) {
  std::ostringstream out;
  std::ostringstream error;
  const int code = RunTool(words, out, error);
  return {code, out.str(), error.str()};
}

/// A daemon that gives out prepared answers to searches; an answer of status
/// 0 closes the connection instead.
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
      exchange->Respond(Answer(200, R"({"entries":[{"address":")" + Address() +
                                        R"("}],"keep_ms":10000,)" +
                                        R"("request_id_prefix":"p~1~)" +
                                        std::to_string(m_asked++) + R"(~"})"));
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
  std::size_t m_asked = 0;
  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpServer> m_server;
};

HttpResponse Refused(const std::string& verdict, bool is_retryable) {
  return ScriptedDaemon::Answer(
      503, R"({"request_id":"x","verdict":")" + verdict +
               R"(","reason":"overloaded","detail":"full")" +
               (is_retryable ? R"(,"retry_after_ms":1})" : "}"));
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

/// A file that lives as long as the object.
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

TEST_CASE("the exit code tells what a command line came to") {
  const TemporaryFile good_file(kManifest);
  const TemporaryFile bad_file(R"({"services": [], "x": 1})");
  const std::string& good = good_file.Name();
  const std::string& bad = bad_file.Name();
  struct Line {
    std::vector<std::string> words;
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
      {{"validate"}, 2, "FILE: expected a word"},
      {{"publish", good}, 2, "store: expected IP number and port"},
      {{"publish", bad, "--store", "127.0.0.1:1"},
       3,
       "x: expected a known key"},
      {{"publish", good, "--store", "127.0.0.1:1"}, 5, "publish id"},
      {{"manifest", "--store", "127.0.0.1:1"}, 5, "no manifest"},
      {{"status", "--daemon", "127.0.0.1:1"}, 5, "no daemon answers"},
      {{"dump", "--daemon", "nowhere"}, 2, "daemon: expected IP number"},
      {{"entries", "s", "--daemon", "127.0.0.1:1"}, 5, "no daemon answers"},
      {{"drain", "--daemon", "127.0.0.1:1"}, 5, "no answer"},
      {{"search", "s", "--daemon", "127.0.0.1:1", "--tries", "1"}, 5, "lost"},
  };
  for (const Line& line : lines) {
    CAPTURE(line.words);
    const ToolRun run = Run(line.words);
    CHECK(run.code == line.code);
    const std::string all = run.out + run.error;
    CHECK_MESSAGE(all.find(line.text) != std::string::npos, all);
  }
}

TEST_CASE("each command explains itself") {
  for (const char* name : {"validate", "publish", "manifest", "status", "dump",
                           "entries", "search", "drain"}) {
    const ToolRun run = Run({name, "--help"});
    CHECK(run.code == 0);
    CHECK(run.out.find(std::string("Usage: bramleyspoke ") + name) == 0);
    CHECK(run.out.find("--json") != std::string::npos);
  }
}

TEST_CASE("a search's exit code tells coverage and verdict") {
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
    const ToolRun run = Run({"search", "lookup", "--daemon", daemon.Address()});
    CAPTURE(run.out);
    CHECK(run.code == script.code);
    CHECK(daemon.Searches() == script.searches);
    // Sent again under the same id, so that it runs at most once.
    CHECK(daemon.Bodies().size() == 1);
    CHECK(daemon.Bodies().begin()->find("p~1~0~") != std::string::npos);
  }
}

TEST_CASE("a published manifest can be read back, and a late one is told") {
  const StoreFixture store;
  const TemporaryFile published(kManifest);
  const std::string& file = published.Name();
  const ToolRun first = Run({"publish", file, "--store", store.Address(),
                             "--expect-generation", "0", "--publish-id", "p1"});
  CHECK(first.out == "accepted: generation 1\n");
  CHECK(first.code == 0);

  const ToolRun late = Run({"publish", file, "--store", store.Address(),
                            "--expect-generation", "0", "--publish-id", "p2"});
  CHECK(late.code == 4);
  const ToolRun again = Run({"publish", file, "--store", store.Address(),
                             "--expect-generation", "0", "--publish-id", "p1"});
  CHECK(again.out == "accepted: generation 1\n");

  const ToolRun source =
      Run({"manifest", "--store", store.Address(), "--source"});
  CHECK(source.out.find(R"({"services":[{"name":"lookup","class":"urgent")") ==
        0);
  const ToolRun missing =
      Run({"manifest", "--store", store.Address(), "--generation", "7"});
  CHECK(missing.code == 5);
}

}  // namespace bramleyspoke
