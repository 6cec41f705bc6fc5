#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>

#include "connection/event_loop.h"
#include "connection/http_client.h"
#include "connection/http_server.h"

namespace bramleyspoke {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::chrono::seconds kCallTimeout{5};

/// Throws for "/throw" and answers all other requests.
class ThrowingHandler final : public HttpHandler {
 public:
  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    ++m_requests;
    if (exchange->Request().target == "/throw") {
      throw std::runtime_error("handler failed");
    }
    exchange->Respond(HttpResponse());
  }

  int Requests() const { return m_requests; }

 private:
  std::atomic<int> m_requests = 0;
};

class GuardedServer {
 public:
  GuardedServer()
      : m_loop(EventLoop::Create()),
        m_server(HttpServer::Create(*m_loop,
                                    {"127.0.0.1", 0},
                                    HttpServerLimits(),
                                    m_handler)
                     .value()) {
    m_loop->Start();
  }
  ~GuardedServer() { m_loop->Stop(); }

  EventLoop& Loop() { return *m_loop; }
  const ThrowingHandler& Handler() const { return m_handler; }
  Endpoint Address() const { return m_server->Address(); }
  int Status(const HttpRequest& request) const {
    const HttpOutcome outcome =
        HttpCallAndWait(Address(), request, kCallTimeout);
    return outcome.response ? outcome.response->status : 0;
  }
  /// All that the server sends until it closes the connection.
  std::string SendBytes(const std::string& bytes) const {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), Address().port});
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(received), error);
    return received;
  }

 private:
  ThrowingHandler m_handler;
  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace

// Guards against one request that ends the process, and with it all others.
TEST_CASE("a handler that throws costs its own request an answer only") {
  const GuardedServer server;
  CHECK(server.Status({"GET", "/throw", {}, ""}) == 500);
  CHECK(server.Status({"GET", "/", {}, ""}) == 200);
}

TEST_CASE("a loop goes on after a call that throws") {
  GuardedServer server;
  std::promise<void> done;
  server.Loop().Post([] { throw std::runtime_error("call failed"); });
  server.Loop().Post([&] { done.set_value(); });
  CHECK(done.get_future().wait_for(kCallTimeout) == std::future_status::ready);
}

TEST_CASE("a request that HTTP cannot express is not sent") {
  const GuardedServer server;
  const HttpOutcome outcome = HttpCallAndWait(
      server.Address(), {"TRACE", "/", {}, "a body"}, kCallTimeout);
  CHECK_FALSE(outcome.response.has_value());
  CHECK(outcome.failure == HttpFailure::kConnect);
}

TEST_CASE("TRACE with a body is refused") {
  const GuardedServer server;
  const std::string received = server.SendBytes(
      "TRACE / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
  CHECK(received.rfind("HTTP/1.1 400", 0) == 0);
  CHECK(server.Handler().Requests() == 0);
}

// Guards against a body whose bytes are read as another request.
TEST_CASE("a request with an unknown transfer coding is refused whole") {
  const GuardedServer server;
  std::string coding;
  SUBCASE("unknown") {
    coding = "gzip";
  }
  SUBCASE("unknown before chunked") {
    coding = "gzip, chunked";
  }
  SUBCASE("unknown after chunked") {
    coding = "chunked, identity";
  }
  SUBCASE("in two fields") {
    coding = "gzip\r\nTransfer-Encoding: chunked";
  }
  const std::string inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string received = server.SendBytes(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding +
      "\r\n\r\n" + inner);
  const bool is_refused = received.rfind("HTTP/1.1 501", 0) == 0 ||
                          received.rfind("HTTP/1.1 400", 0) == 0;
  CHECK_MESSAGE(is_refused, received);
  CHECK(received.find("200") == std::string::npos);
  CHECK(server.Handler().Requests() == 0);
}

}  // namespace bramleyspoke
