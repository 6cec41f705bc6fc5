#include "platform/store_client.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "connection/http_server.h"
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
              client->Range("", "", std::move(done));
            })
            .status);
  }
  runner.Run([&] {
    client.reset();
    return true;
  });
  return calls;
}

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

}  // namespace bramleyspoke
