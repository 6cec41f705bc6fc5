#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "connection/event_loop.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "loop_runner.h"
#include "silent_proxy.h"

namespace bramleyspoke {
namespace {

constexpr std::chrono::milliseconds kSilenceLimit{1500};
// The limit, a second for the probes and some for a busy machine.
constexpr std::chrono::seconds kSilenceBound{3};
constexpr std::chrono::seconds kCallTimeout{30};

class EchoHandler final : public HttpHandler {
 public:
  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    if (exchange->Request().target == "/abort") {
      exchange->Abort();
      return;
    }
    if (exchange->Request().target == "/silent") {
      m_held.push_back(exchange);
      return;
    }
    if (exchange->Request().target == "/stream") {
      exchange->StreamBegin(HttpResponse{});
      exchange->StreamChunk("one\n");
      exchange->StreamChunk("two\n");
      m_held.push_back(exchange);
      return;
    }
    HttpResponse response;
    response.body = exchange->Request().body;
    exchange->Respond(std::move(response));
  }

 private:
  std::vector<std::shared_ptr<HttpExchange>> m_held;
};

class HttpFixture {
 public:
  HttpFixture()
      : m_loop(EventLoop::Create()),
        m_server(HttpServer::Create(*m_loop,
                                    Endpoint{"127.0.0.1", 0},
                                    HttpServerLimits{.body_bytes = 100},
                                    m_handler)
                     .value()) {
    m_loop->Start();
  }
  ~HttpFixture() { m_loop->Stop(); }

  HttpOutcome Call(const std::string& target, const std::string& body) const {
    return HttpCallAndWait(m_server->Address(),
                           HttpRequest{"POST", target, {}, body},
                           std::chrono::milliseconds(300));
  }

  EventLoop& Loop() { return *m_loop; }
  Endpoint Address() const { return m_server->Address(); }

 private:
  std::unique_ptr<EventLoop> m_loop;
  EchoHandler m_handler;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace

TEST_CASE("an HTTP call ends with a response or the reason for its failure") {
  const HttpFixture fixture;

  SUBCASE("response received") {
    const HttpOutcome outcome = fixture.Call("/", "body");
    REQUIRE(outcome.response);
    CHECK(outcome.response->body == "body");
  }
  SUBCASE("connection closed without a response") {
    const HttpOutcome outcome = fixture.Call("/abort", "");
    CHECK_FALSE(outcome.response);
    CHECK(outcome.failure == HttpFailure::kClosed);
  }
  SUBCASE("no response by the deadline") {
    const HttpOutcome outcome = fixture.Call("/silent", "");
    CHECK_FALSE(outcome.response);
    CHECK(outcome.failure == HttpFailure::kTimeout);
  }
  SUBCASE("body over the limit") {
    const HttpOutcome outcome = fixture.Call("/", std::string(101, 'x'));
    REQUIRE(outcome.response);
    CHECK(outcome.response->status == 413);
  }
  SUBCASE("no server listens") {
    const HttpOutcome outcome =
        HttpCallAndWait(Endpoint{"127.0.0.1", 1}, HttpRequest{},
                        std::chrono::milliseconds(300));
    CHECK(outcome.failure == HttpFailure::kConnect);
  }
}

TEST_CASE(
    "a call fails soon after its connection has gone silent without a reset") {
  const HttpFixture fixture;
  const auto proxy = SilentProxy::Create(fixture.Address());
  LoopRunner runner;
  using ConnectionPtr = std::shared_ptr<HttpConnection>;
  ConnectionPtr connection =
      runner.Await<ConnectionPtr>([&](std::function<void(ConnectionPtr)> done) {
        HttpConnection::Open(runner.Loop(), proxy->Address(),
                             std::chrono::steady_clock::now() + kCallTimeout,
                             [done](std::unique_ptr<HttpConnection> opened) {
                               opened->LimitSilence(kSilenceLimit);
                               done(std::move(opened));
                             });
      });
  const auto call = [&](const std::string& target) {
    auto promise = std::make_shared<std::promise<HttpOutcome>>();
    runner.Loop().Post([connection, target, promise] {
      connection->Send(
          HttpRequest{"POST", target, {}, "body"},
          std::chrono::steady_clock::now() + kCallTimeout,
          [promise](HttpOutcome ended) { promise->set_value(ended); });
    });
    return promise->get_future();
  };
  REQUIRE(call("/").get().response);

  std::future<HttpOutcome> outcome;
  SUBCASE("while the call waits for its response") {
    outcome = call("/silent");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    REQUIRE(proxy->SilenceOpen(SilenceKind::kUnacknowledged) == 1);
  }
  SUBCASE("before the call") {
    REQUIRE(proxy->SilenceOpen(SilenceKind::kUnacknowledged) == 1);
    outcome = call("/");
  }
  REQUIRE(outcome.wait_for(kSilenceBound) == std::future_status::ready);
  CHECK(outcome.get().failure == HttpFailure::kClosed);
  runner.Run([&] {
    connection.reset();
    return true;
  });
}

TEST_CASE("a stream delivers its parts before it ends") {
  HttpFixture fixture;
  std::string received;
  std::unique_ptr<HttpStream> stream;
  std::atomic<bool> is_complete = false;
  fixture.Loop().Post([&] {
    stream = HttpStream::Open(
        fixture.Loop(), fixture.Address(),
        HttpRequest{"GET", "/stream", {}, ""},
        [&](std::string_view part) {
          received += part;
          is_complete = received == "one\ntwo\n";
        },
        [] {});
  });
  while (!is_complete) {
    std::this_thread::yield();
  }
  std::atomic<bool> is_dropped = false;
  fixture.Loop().Post([&] {
    stream.reset();
    is_dropped = true;
  });
  while (!is_dropped) {
    std::this_thread::yield();
  }
}

}  // namespace bramleyspoke
