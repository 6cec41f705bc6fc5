#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "connection/http_client.h"

namespace bramleyspoke {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::chrono::seconds kCallTimeout{10};

enum class ConnectionEnd { kClosed, kReset };

/// Answers one request with a text and ends the connection.
class OneAnswerServer {
 public:
  OneAnswerServer(std::string answer, ConnectionEnd end)
      : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
        m_thread(
            [this, answer = std::move(answer), end] { Serve(answer, end); }) {}
  ~OneAnswerServer() { m_thread.join(); }

  Endpoint Address() const {
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
  }

 private:
  void Serve(const std::string& answer, ConnectionEnd end) {
    tcp::socket socket(m_context);
    m_acceptor.accept(socket);
    std::string request;
    boost::system::error_code ignored;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                     ignored);
    asio::write(socket, asio::buffer(answer), ignored);
    if (end == ConnectionEnd::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
  }

  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
};

HttpOutcome CallWithAnswer(const std::string& answer,
                           ConnectionEnd end = ConnectionEnd::kClosed) {
  const OneAnswerServer server(answer, end);
  return HttpCallAndWait(server.Address(), HttpRequest{}, kCallTimeout);
}

}  // namespace

// Guards against an answer that ends early and looks complete to the caller.
TEST_CASE("a response that is cut at any byte is no response") {
  std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: id\r\n";
  std::string body;
  SUBCASE("with a length") {
    head += "Content-Length: 11\r\nResponse-Stamp: s\r\n\r\n";
    body = "eleven byte";
  }
  SUBCASE("with no body") {
    head += "Content-Length: 0\r\nResponse-Stamp: s\r\n\r\n";
  }
  SUBCASE("in chunks") {
    head += "Transfer-Encoding: chunked\r\nResponse-Stamp: s\r\n\r\n";
    body = "4\r\nfour\r\n5\r\nfive.\r\n0\r\n\r\n";
  }
  const std::string whole = head + body;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CAPTURE(size);
    CHECK_FALSE(CallWithAnswer(whole.substr(0, size)).response);
  }
  CHECK(CallWithAnswer(whole).response);
}

TEST_CASE("a response that ends with its connection needs its whole head") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Stamp: s\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    CAPTURE(size);
    CHECK_FALSE(CallWithAnswer(head.substr(0, size)).response);
  }
  const HttpOutcome outcome = CallWithAnswer(head + "body");
  REQUIRE(outcome.response);
  CHECK(outcome.response->body == "body");
}

TEST_CASE("a response that ends with its connection is lost if it is reset") {
  const std::string head = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n";
  CHECK_FALSE(CallWithAnswer(head + "body", ConnectionEnd::kReset).response);
}

}  // namespace bramleyspoke
