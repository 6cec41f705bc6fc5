#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "connection/http_client.h"
#include "loop_runner.h"

namespace bramleyspoke {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::chrono::seconds kDeadline{5};
constexpr const char* kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
constexpr const char* kStray =
    "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Answers the first request of each connection with some bytes, others not.
class StrayBytesServer {
 public:
  explicit StrayBytesServer(std::string bytes)
      : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
        m_thread([this, bytes = std::move(bytes)] { Serve(bytes); }) {}
  ~StrayBytesServer() { m_thread.join(); }

  Endpoint Address() const {
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
  }

 private:
  void Serve(const std::string& bytes) {
    tcp::socket socket(m_context);
    m_acceptor.accept(socket);
    std::string requests;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(requests), "\r\n\r\n", error);
    asio::write(socket, asio::buffer(bytes), error);
    // Until the client closes the connection.
    asio::read_until(socket, asio::dynamic_buffer(requests), "never", error);
  }

  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
};

}  // namespace

// Guards against a request that is taken as not run because of bytes that the
// leaf sent before it.
TEST_CASE("a connection on which bytes follow an answer is not used again") {
  const StrayBytesServer server(std::string(kAnswer) + kStray);
  LoopRunner runner;
  std::shared_ptr<HttpConnection> connection;
  const auto deadline = std::chrono::steady_clock::now() + Duration(kDeadline);
  const auto outcome = runner.Await<HttpOutcome>([&](auto done) {
    HttpConnection::Open(
        runner.Loop(), server.Address(), deadline,
        [&connection, deadline, done](std::unique_ptr<HttpConnection> opened) {
          connection = std::move(opened);
          connection->Send({"GET", "/", {}, ""}, deadline, done);
        });
  });
  REQUIRE(outcome.response);
  CHECK(outcome.response->body == "first");
  const bool is_open = runner.Run([&] { return connection->IsOpen(); });
  CHECK_FALSE(is_open);
  runner.Run([&] {
    connection.reset();
    return 0;
  });
}

// Guards against a refusal without an id that the leaf sent before it read the
// request.
TEST_CASE("a response that begins before its request is written is doubted") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  std::thread server([&] {
    tcp::socket socket(context);
    acceptor.accept(socket);
    char first = 0;
    asio::read(socket, asio::buffer(&first, 1));
    asio::write(socket, asio::buffer(std::string(kStray)));
    std::string rest;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(rest), "never", error);
  });
  LoopRunner runner;
  std::shared_ptr<HttpConnection> connection;
  std::vector<ConnectionUse> uses;
  const auto deadline = std::chrono::steady_clock::now() + Duration(kDeadline);
  // Larger than the sockets' buffers.
  const std::string body(std::size_t{64} * 1024 * 1024, 'x');
  runner.Await<HttpOutcome>([&](auto done) {
    HttpConnection::Open(
        runner.Loop(), {"127.0.0.1", acceptor.local_endpoint().port()},
        deadline, [&, deadline, done](std::unique_ptr<HttpConnection> opened) {
          connection = std::move(opened);
          connection->SendMatching(
              {"POST", "/", {}, body}, deadline,
              [&uses](const HttpResponse&, ConnectionUse use) {
                uses.push_back(use);
                return true;
              },
              done);
        });
  });
  CHECK(uses == std::vector{ConnectionUse::kReused});
  runner.Run([&] {
    connection.reset();
    return 0;
  });
  server.join();
}

// Guards against a refusal without an id that was there before the request was
// written, though the write took no time.
TEST_CASE("a response that was there before its request is doubted") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  std::thread server([&] {
    tcp::socket socket(context);
    acceptor.accept(socket);
    asio::write(socket, asio::buffer(std::string(kStray)));
    std::string rest;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(rest), "never", error);
  });
  LoopRunner runner;
  std::shared_ptr<HttpConnection> connection;
  std::vector<ConnectionUse> uses;
  const auto deadline = std::chrono::steady_clock::now() + Duration(kDeadline);
  runner.Await<HttpOutcome>([&](auto done) {
    HttpConnection::Open(
        runner.Loop(), {"127.0.0.1", acceptor.local_endpoint().port()},
        deadline, [&, deadline, done](std::unique_ptr<HttpConnection> opened) {
          // The process is held up between the connect and the write.
          std::this_thread::sleep_for(std::chrono::milliseconds(100));
          connection = std::move(opened);
          connection->SendMatching(
              {"POST", "/", {}, "body"}, deadline,
              [&uses](const HttpResponse&, ConnectionUse use) {
                uses.push_back(use);
                return true;
              },
              done);
        });
  });
  CHECK(uses == std::vector{ConnectionUse::kReused});
  runner.Run([&] {
    connection.reset();
    return 0;
  });
  server.join();
}

TEST_CASE("a matcher is told whether a connection was used before") {
  const StrayBytesServer server(kAnswer);
  LoopRunner runner;
  std::shared_ptr<HttpConnection> connection;
  std::vector<ConnectionUse> uses;
  const auto deadline = std::chrono::steady_clock::now() + Duration(kDeadline);
  runner.Await<HttpOutcome>([&](auto done) {
    HttpConnection::Open(
        runner.Loop(), server.Address(), deadline,
        [&, deadline, done](std::unique_ptr<HttpConnection> opened) {
          connection = std::move(opened);
          connection->SendMatching(
              {"GET", "/", {}, ""}, deadline,
              [&uses](const HttpResponse&, ConnectionUse use) {
                uses.push_back(use);
                return true;
              },
              done);
        });
  });
  CHECK(uses == std::vector{ConnectionUse::kFirst});
  runner.Run([&] {
    connection.reset();
    return 0;
  });
}

}  // namespace bramleyspoke
