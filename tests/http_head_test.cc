#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/leaf_exchanges.h"
#include "loop_runner.h"

namespace bramleyspoke {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::chrono::seconds kCallTimeout{5};

/// Answers HEAD with the length of a body that it does not send, and keeps the
/// connection open.
class HeadServer {
 public:
  HeadServer()
      : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
        m_thread([this] { Serve(); }) {}
  ~HeadServer() { m_thread.join(); }

  Endpoint Address() const {
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
  }

 private:
  void Serve() {
    tcp::socket socket(m_context);
    m_acceptor.accept(socket);
    std::string requests;
    boost::system::error_code ignored;
    asio::read_until(socket, asio::dynamic_buffer(requests), "\r\n\r\n",
                     ignored);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n";
    asio::write(socket, asio::buffer(answer), ignored);
    asio::read_until(socket, asio::dynamic_buffer(requests), "never", ignored);
  }

  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
};

/// Answers a HEAD twice, the second time when the next request has come, which
/// it then answers. Closes nothing.
class LateHeadServer {
 public:
  LateHeadServer()
      : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
        m_thread([this] { Accept(); }) {}
  ~LateHeadServer() { m_thread.join(); }

  Endpoint Address() const {
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
  }

 private:
  void Accept() {
    constexpr int kConnections = 2;
    std::vector<std::thread> threads;
    for (int connection = 0; connection < kConnections; ++connection) {
      threads.emplace_back(
          [this, socket = m_acceptor.accept()]() mutable { Serve(socket); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  static void Serve(tcp::socket& socket) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nRequest-Id: head\r\nContent-Length: 500\r\n\r\n";
    const std::string get =
        "HTTP/1.1 200 OK\r\nRequest-Id: get\r\nContent-Length: 3\r\n\r\nown";
    std::string late;
    boost::system::error_code error;
    while (!error) {
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                       error);
      const bool is_head = request.starts_with("HEAD");
      asio::write(socket, asio::buffer(late + (is_head ? head : get)), error);
      late = is_head ? head : "";
    }
  }

  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
};

/// Answers each request with a body.
class BodyHandler final : public HttpHandler {
 public:
  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    HttpResponse response;
    response.body = "a body";
    exchange->Respond(std::move(response));
  }
};

}  // namespace

// Guards against later bytes that are taken for the body of a response without
// one.
TEST_CASE("a response to HEAD has no body, whatever length it names") {
  const HeadServer server;
  const HttpOutcome outcome =
      HttpCallAndWait(server.Address(), {"HEAD", "/", {}, ""}, kCallTimeout);
  REQUIRE(outcome.response);
  CHECK(outcome.response->status == 200);
  CHECK(outcome.response->body.empty());
}

// Guards against a late second answer to HEAD that takes the next request's
// answer as its body.
TEST_CASE("a late second answer to HEAD does not hold the next answer") {
  const LateHeadServer server;
  LoopRunner runner;
  LeafExchanges* exchanges = nullptr;
  runner.Run([&] {
    exchanges = new LeafExchanges(runner.Loop(), {},
                                  [](const Endpoint&, bool, TimePoint) {});
    exchanges->SetPoolSizes({{server.Address(), 2}});
    return 0;
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const auto send = [&](ExchangeNumber number, const std::string& method,
                        const std::string& id) {
    return runner.Await<HttpOutcome>([&](auto done) {
      LeafCall call;
      call.leaf = server.Address();
      call.request_id = id;
      call.request = {method, "/", {}, ""};
      call.deadline = std::chrono::steady_clock::now() + Duration(kCallTimeout);
      call.matches = [id](const HttpResponse& response, ConnectionUse) {
        return HeaderValue(response.headers, "Request-Id") == id;
      };
      call.done = done;
      exchanges->Send(number, std::move(call));
    });
  };
  const HttpOutcome head = send(1, "HEAD", "head");
  REQUIRE(head.response);
  const HttpOutcome get = send(2, "GET", "get");
  CHECK(get.response.has_value());
  if (get.response) {
    CHECK(get.response->body == "own");
  }
  runner.Run([&] {
    delete exchanges;
    return 0;
  });
}

// Guards against a body that the client takes for the next response.
TEST_CASE("a request with HEAD is answered without a body") {
  LoopRunner runner;
  BodyHandler handler;
  std::unique_ptr<HttpServer> server;
  runner.Run([&] {
    server = HttpServer::Create(runner.Loop(), {"127.0.0.1", 0},
                                HttpServerLimits(), handler)
                 .value();
    return 0;
  });
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), server->Address().port});
  const std::string head = "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  asio::write(socket, asio::buffer(head + get));
  std::string received;
  asio::read_until(socket, asio::dynamic_buffer(received), "a body");
  const std::size_t body = received.find("a body");
  CHECK(received.rfind("HTTP/1.1 200", body) > received.find("HTTP/1.1 200"));
  socket.close();
  runner.Run([&] {
    server.reset();
    return 0;
  });
}

}  // namespace bramleyspoke
