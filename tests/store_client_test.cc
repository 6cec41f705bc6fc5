#include "platform/store_client.h"

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "connection/http_server.h"
#include "fleet.h"
#include "loop_runner.h"

namespace bramleyspoke {
namespace {

/// A store whose responses have the given eras, one after the other.
class EraStore final : public HttpHandler {
 public:
  explicit EraStore(std::deque<std::string> eras) : m_eras(std::move(eras)) {
    m_server = m_runner.Run([this] {
      return HttpServer::Create(m_runner.Loop(), {"127.0.0.1", 0},
                                HttpServerLimits(), *this)
          .value();
    });
  }
  ~EraStore() override {
    m_runner.Run([this] {
      m_server.reset();
      return true;
    });
  }

  Endpoint Address() const { return m_server->Address(); }

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    HttpResponse response;
    response.body = R"({"at_revision":7,"has_more":false,"items":[]})";
    if (!m_eras.front().empty()) {
      response.headers.push_back({"Store-Era", m_eras.front()});
    }
    m_eras.pop_front();
    exchange->Respond(std::move(response));
  }

 private:
  std::deque<std::string> m_eras;
  LoopRunner m_runner;
  std::unique_ptr<HttpServer> m_server;
};

/// Answers all calls with one page.
class PageHandler final : public HttpHandler {
 public:
  explicit PageHandler(std::string page) : m_page(std::move(page)) {}

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    HttpResponse response;
    response.body = m_page;
    exchange->Respond(std::move(response));
  }

 private:
  std::string m_page;
};

struct EraCalls {
  std::vector<KeyValueStatus> statuses;
  /// Era after each change, and the number of calls that had ended before it.
  std::vector<std::pair<std::uint64_t, std::size_t>> changes;
};

// Calls the store once for each era.
EraCalls CallStore(const std::deque<std::string>& eras) {
  EraStore store(eras);
  LoopRunner runner;
  EraCalls calls;
  auto client = runner.Run([&] {
    auto created =
        Platform::StoreClient::Create(runner.Loop(), store.Address());
    created->OnEraChange([&](const StoreEraChange& change) {
      calls.changes.emplace_back(change.after, calls.statuses.size());
    });
    return created;
  });
  for (std::size_t i = 0; i < eras.size(); ++i) {
    calls.statuses.push_back(
        runner
            .Await<KeyValuePage>([&](std::function<void(KeyValuePage)> done) {
              client->Range("", "", ReadAge::kCurrent, std::move(done));
            })
            .status);
  }
  runner.Run([&] {
    client.reset();
    return true;
  });
  return calls;
}

/// A store that answers no call until it closes all connections.
class SilentStore final : public HttpHandler {
 public:
  SilentStore() { Start({"127.0.0.1", 0}); }
  ~SilentStore() override { Close(); }

  Endpoint Address() const { return m_address; }

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    m_unanswered.push_back(std::move(exchange));
  }

  /// Targets of the calls since the connections were closed.
  std::vector<std::string> Calls() {
    return m_runner.Run([this] {
      std::vector<std::string> targets;
      for (const auto& exchange : m_unanswered) {
        targets.push_back(exchange->Request().target);
      }
      return targets;
    });
  }

  void Close() {
    m_runner.Run([this] {
      m_server.reset();
      m_unanswered.clear();
      return true;
    });
  }

  void Start(const Endpoint& address) {
    m_runner.Run([&] {
      m_server = HttpServer::Create(m_runner.Loop(), address,
                                    HttpServerLimits(), *this)
                     .value();
      return true;
    });
    m_address = m_server->Address();
  }

 private:
  LoopRunner m_runner;
  std::unique_ptr<HttpServer> m_server;
  Endpoint m_address;
  std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
};

}  // namespace

TEST_CASE("a change of the store's era is reported before its response") {
  constexpr auto kOk = KeyValueStatus::kOk;
  SUBCASE("once for each") {
    const EraCalls calls = CallStore({"3", "3", "4", "4", "6"});
    CHECK(calls.statuses == std::vector<KeyValueStatus>(5, kOk));
    CHECK(calls.changes ==
          std::vector<std::pair<std::uint64_t, std::size_t>>{{4, 2}, {6, 4}});
  }
  SUBCASE("a response from an earlier era counts as none") {
    const EraCalls calls = CallStore({"3", "4", "3", "4"});
    CHECK(calls.statuses ==
          std::vector{kOk, kOk, KeyValueStatus::kUnknown, kOk});
    CHECK(calls.changes.size() == 1);
  }
  SUBCASE("a response without a valid era is no news") {
    const EraCalls calls = CallStore({"3", "", "x", "3"});
    CHECK(calls.statuses == std::vector<KeyValueStatus>(4, kOk));
    CHECK(calls.changes.empty());
  }
}

// The client's loop is held up until both connections have broken, so that it
// handles both in one turn; the call that fails first ends the watch.
TEST_CASE(
    "a watch that is cancelled while its connection breaks ends once, and so "
    "does the next one") {
  constexpr std::chrono::seconds kEventTimeout{10};
  constexpr std::chrono::seconds kWait{5};
  SilentStore store;
  LoopRunner runner;
  std::vector<int> ends(3);
  auto client = runner.Run([&] {
    return Platform::StoreClient::Create(runner.Loop(), store.Address());
  });
  runner.Run([&] {
    client->ReadRecentRevision([&](const KeyValueRevision& /*revision*/) {
      ++ends[0];
      client->CancelWatches();
      client->Watch("", 1, kWait,
                    [&](const KeyValueChanges& /*changes*/) { ++ends[2]; });
    });
    client->Watch("", 1, kWait,
                  [&](const KeyValueChanges& /*changes*/) { ++ends[1]; });
    return true;
  });
  REQUIRE(Harness::WaitUntil([&] { return store.Calls().size() == 2; },
                             kEventTimeout));
  runner.Run([&] {
    store.Close();
    store.Start(store.Address());
    return true;
  });
  CHECK(Harness::WaitUntil([&] { return store.Calls().size() == 1; },
                           kEventTimeout));
  CHECK(runner.Run([&] { return ends; }) == std::vector{1, 1, 0});
  store.Close();
  const auto has_ended = [&] {
    return runner.Run([&] { return ends[2]; }) == 1;
  };
  CHECK(Harness::WaitUntil(has_ended, kEventTimeout));
  runner.Run([&] {
    client.reset();
    return true;
  });
}

TEST_CASE(
    "a watch that is cancelled before it is sent does not delay the next") {
  constexpr std::chrono::seconds kEventTimeout{10};
  constexpr std::chrono::seconds kWait{5};
  SilentStore store;
  LoopRunner runner;
  int first_ends = 0;
  auto client = runner.Run([&] {
    return Platform::StoreClient::Create(runner.Loop(), store.Address());
  });
  runner.Run([&] {
    client->Watch("", 1, kWait,
                  [&](const KeyValueChanges& /*changes*/) { ++first_ends; });
    client->CancelWatches();
    client->Watch("", 2, kWait, [](const KeyValueChanges& /*changes*/) {});
    return true;
  });
  CHECK(runner.Run([&] { return first_ends; }) == 1);
  REQUIRE(Harness::WaitUntil([&] { return !store.Calls().empty(); },
                             kEventTimeout));
  CHECK(store.Calls().front().find("after=2") != std::string::npos);
  runner.Run([&] {
    client.reset();
    return true;
  });
}

// Guards against a key of another writer that hides all others.
TEST_CASE("a page is read past a key that is no UTF-8") {
  LoopRunner server_loop;
  PageHandler handler(R"({"at_revision":7,"has_more":false,"items":[)"
                      "{\"key\":\"servers/\xc3\x28\",\"value\":\"YQ==\"},"
                      R"({"key":"servers/i-1","value":"YQ=="}]})");
  auto server = server_loop.Run([&] {
    return HttpServer::Create(server_loop.Loop(), {"127.0.0.1", 0},
                              HttpServerLimits(), handler)
        .value();
  });
  LoopRunner runner;
  auto client = runner.Run([&] {
    return Platform::StoreClient::Create(runner.Loop(), server->Address());
  });
  const auto page =
      runner.Await<KeyValuePage>([&](std::function<void(KeyValuePage)> done) {
        client->Range("", "", ReadAge::kCurrent, std::move(done));
      });
  CHECK(page.status == KeyValueStatus::kOk);
  REQUIRE(page.items.size() == 2);
  CHECK(page.items.back().key == "servers/i-1");
  runner.Run([&] {
    client.reset();
    return true;
  });
  server_loop.Run([&] {
    server.reset();
    return true;
  });
}

}  // namespace bramleyspoke
