#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "connection/event_loop.h"
#include "connection/http_server.h"
#include "endless_bytes.h"
#include "loop_runner.h"

namespace bramleyspoke {
namespace {

// Time in which a request beyond a limit must be recognized; the server's own
// limit for a whole request is longer.
constexpr std::chrono::milliseconds kPrompt{3000};
constexpr std::chrono::seconds kRequestTimeout{30};
constexpr std::size_t kMaxBodyBytes = std::size_t{256} * 1024;
// What sockets and buffers take beyond a limit.
constexpr std::size_t kSocketBytes = std::size_t{12} * 1024 * 1024;

struct EndlessRow {
  std::string name;
  EndlessBytes bytes;
};

std::vector<EndlessRow> EndlessRows() {
  const std::string chunked =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {
      {"bytes that are not HTTP", {"", std::string(4096, 'x')}},
      {"header fields", {"GET / HTTP/1.1\r\n", "Name: value\r\n"}},
      {"one header field",
       {"GET / HTTP/1.1\r\nName: ", std::string(4096, 'v')}},
      {"a target", {"GET /", std::string(4096, 't')}},
      {"chunks", {chunked, "1000\r\n" + std::string(4096, 'c') + "\r\n"}},
      {"a chunk's extension", {chunked + "1;", std::string(4096, 'e')}},
      {"the digits of a chunk's size", {chunked, std::string(4096, '0')}},
      {"trailer fields", {chunked + "0\r\n", "Name: value\r\n"}},
      {"one trailer field", {chunked + "0\r\nName: ", std::string(4096, 'v')}},
  };
}

class CountingHandler final : public HttpHandler {
 public:
  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    ++requests;
    exchange->Respond({});
  }

  int requests = 0;
};

}  // namespace

TEST_CASE("a request without end is refused at its limit") {
  for (const EndlessRow& row : EndlessRows()) {
    CAPTURE(row.name);
    LoopRunner loop;
    CountingHandler handler;
    HttpServerLimits limits;
    limits.body_bytes = kMaxBodyBytes;
    limits.request_timeout = kRequestTimeout;
    std::unique_ptr<HttpServer> server = loop.Run([&] {
      return HttpServer::Create(loop.Loop(), {"127.0.0.1", 0}, limits, handler)
          .value();
    });
    const AcceptedBytes accepted =
        SendWithoutEnd(server->Address(), row.bytes, kPrompt);
    CHECK(accepted.is_closed);
    CHECK(accepted.count < kMaxBodyBytes + kSocketBytes);
    CHECK(handler.requests == 0);
    loop.Run([&] {
      server.reset();
      return 0;
    });
  }
}

}  // namespace bramleyspoke
