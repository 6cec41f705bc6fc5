#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <memory>
#include <string>

#include "connection/event_loop.h"
#include "connection/http_server.h"

namespace bramleyspoke {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class AnsweringHandler final : public HttpHandler {
 public:
  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    HttpResponse response;
    response.body = "answered";
    exchange->Respond(std::move(response));
  }
};

/// A server with one client, whose connection the server has accepted.
class ConnectedClient {
 public:
  ConnectedClient()
      : m_loop(EventLoop::Create()),
        m_server(HttpServer::Create(*m_loop,
                                    Endpoint{"127.0.0.1", 0},
                                    HttpServerLimits(),
                                    m_handler)
                     .value()),
        m_socket(m_context) {
    m_loop->Start();
    m_socket.connect(
        {asio::ip::make_address("127.0.0.1"), m_server->Address().port});
    while (OnLoop([&] { return m_server->ConnectionCount(); }) == 0) {
    }
  }
  ~ConnectedClient() { m_loop->Stop(); }

  HttpServer& Server() { return *m_server; }
  void Send(const std::string& text) {
    asio::write(m_socket, asio::buffer(text));
  }
  bool HasAnswer() { return m_socket.available() > 0; }
  /// All that the server sends until it closes the connection.
  std::string ReadAll() {
    std::string text;
    boost::system::error_code error;
    asio::read(m_socket, asio::dynamic_buffer(text), error);
    return text;
  }
  /// Runs `call` on the server's loop and returns its result.
  template <typename Call>
  auto OnLoop(Call call) -> decltype(call()) {
    std::packaged_task<decltype(call())()> task(std::move(call));
    auto result = task.get_future();
    m_loop->Post([&task] { task(); });
    return result.get();
  }

 private:
  AnsweringHandler m_handler;
  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpServer> m_server;
  asio::io_context m_context;
  tcp::socket m_socket;
};

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

TEST_CASE("a server that shuts down closes an idle connection") {
  ConnectedClient client;
  client.OnLoop([&] { client.Server().BeginShutdown(); });
  CHECK(client.ReadAll().empty());
}

// Guards against closing a connection on which a request has just arrived.
TEST_CASE("a server that shuts down answers a request that has just arrived") {
  ConnectedClient client;
  client.OnLoop([&] {
    client.Send(kRequest);
    client.Server().BeginShutdown();
  });
  const std::string answer = client.ReadAll();
  CHECK(answer.find("answered") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
}

// Guards against cutting off a request of which a part has arrived.
TEST_CASE("a server refuses a request that has arrived in part as not run") {
  ConnectedClient client;
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbod");
  client.OnLoop([&] { client.Server().BeginShutdown(); });
  // The server may not have begun to read it yet.
  while (!client.HasAnswer()) {
    client.OnLoop([&] { client.Server().RefuseUnread(); });
  }
  const std::string answer = client.ReadAll();
  CHECK(answer.find("503") != std::string::npos);
  CHECK(answer.find("not_run") != std::string::npos);
  CHECK(answer.find("shutting_down") != std::string::npos);
}

}  // namespace bramleyspoke
