#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "connection/byte_budget.h"
#include "connection/etcd_store.h"
#include "connection/event_loop.h"
#include "connection/http_client.h"
#include "connection/leaf_exchanges.h"
#include "endless_bytes.h"
#include "fleet.h"
#include "loop_runner.h"
#include "relay_platform.h"

namespace bramleyspoke {
namespace {

constexpr std::chrono::seconds kDeadline{4};
// Time in which a response beyond a limit must be recognized.
constexpr std::chrono::seconds kPrompt{2};
struct EndlessRow {
  std::string name;
  EndlessBytes bytes;
};

const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<EndlessRow> EndlessRows() {
  return {
      {"bytes that are not HTTP", {"", std::string(4096, 'x')}},
      {"header fields", {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"}},
      {"one header field",
       {"HTTP/1.1 200 OK\r\nName: ", std::string(4096, 'v')}},
      {"a body that ends with the connection",
       {"HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'b')}},
      {"a body with a length",
       {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        std::string(4096, 'b')}},
      {"chunks", {kChunkedHead, "1000\r\n" + std::string(4096, 'c') + "\r\n"}},
      {"a chunk's extension", {kChunkedHead + "1;", std::string(4096, 'e')}},
      {"the digits of a chunk's size", {kChunkedHead, std::string(4096, '0')}},
      {"trailer fields", {kChunkedHead + "0\r\n", "Name: value\r\n"}},
      {"one trailer field",
       {kChunkedHead + "0\r\nName: ", std::string(4096, 'v')}},
      {"responses of status 100", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
      {"responses to another request",
       {"",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: "
        "other\r\n\r\n"}},
  };
}

constexpr std::size_t kMaxBodyBytes = std::size_t{1024} * 1024;
// What sockets and buffers take beyond a limit.
constexpr std::size_t kSocketBytes = std::size_t{12} * 1024 * 1024;

struct CallResult {
  HttpOutcome outcome;
  Duration taken{0};
};

CallResult Call(LoopRunner& loop, const Endpoint& server) {
  const TimePoint begin = std::chrono::steady_clock::now();
  const TimePoint deadline = begin + Duration(kDeadline);
  std::shared_ptr<HttpConnection> connection;
  const auto outcome = loop.Await<HttpOutcome>([&](auto done) {
    HttpConnection::Open(
        loop.Loop(), server, deadline,
        [&connection, deadline, done](std::unique_ptr<HttpConnection> opened) {
          connection = std::move(opened);
          HttpResponseLimits limits;
          limits.body_bytes = kMaxBodyBytes;
          connection->LimitResponses(limits);
          connection->SendMatching(
              {"GET", "/", {}, ""}, deadline,
              [](const HttpResponse& response, ConnectionUse) {
                return HeaderValue(response.headers, "Request-Id") != "other";
              },
              done);
        });
  });
  loop.Run([&] {
    connection.reset();
    return 0;
  });
  return {outcome, std::chrono::steady_clock::now() - begin};
}

}  // namespace

TEST_CASE("a response without end is given up at its limit") {
  for (const EndlessRow& row : EndlessRows()) {
    CAPTURE(row.name);
    EndlessServer server(row.bytes);
    LoopRunner loop;
    const CallResult result = Call(loop, server.Address());
    CHECK_FALSE(result.outcome.response.has_value());
    CHECK(result.outcome.failure == HttpFailure::kMalformed);
    CHECK(result.taken < kPrompt);
    CHECK(server.Sent() < kMaxBodyBytes + kSocketBytes);
  }
}

TEST_CASE("a response of a byte now and then ends at the deadline") {
  EndlessServer server(
      {"HTTP/1.1 200 OK\r\n\r\n", "b", std::chrono::milliseconds(50)});
  LoopRunner loop;
  const CallResult result = Call(loop, server.Address());
  CHECK(result.outcome.failure == HttpFailure::kTimeout);
  CHECK(result.taken < kDeadline + kPrompt);
}

TEST_CASE("an interim response is not the response to a request") {
  EndlessServer server(
      {"HTTP/1.1 100 Continue\r\n\r\n"
       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
       "body", std::chrono::seconds(1)});
  LoopRunner loop;
  const CallResult result = Call(loop, server.Address());
  REQUIRE(result.outcome.response.has_value());
  CHECK(result.outcome.response->status == 200);
  CHECK(result.outcome.response->body == "body");
}

TEST_CASE(
    "leafs that respond without end take bounded memory together and "
    "hold up no other request") {
  constexpr int kEndless = 50;
  constexpr int kRequests = 100;
  constexpr std::size_t kMaxTotal = std::size_t{8} * 1024 * 1024;
  EndlessServer endless({"HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'b')});
  FakePlatformLeaf sound("sound");
  LoopRunner loop;
  const auto budget = std::make_shared<ByteBudget>(kMaxTotal);
  std::unique_ptr<LeafExchanges> exchanges;
  loop.Run([&] {
    HttpResponseLimits limits;
    limits.budget = budget;
    exchanges = std::make_unique<LeafExchanges>(
        loop.Loop(), limits, [](const Endpoint&, bool, TimePoint) {});
    return 0;
  });
  std::uint64_t number = 0;
  std::size_t most_used = 0;
  std::atomic<int> malformed = 0;
  const auto send = [&](const Endpoint& leaf, HttpCallback done) {
    LeafCall call;
    call.leaf = leaf;
    call.request = {"GET", "/", {}, ""};
    call.deadline = std::chrono::steady_clock::now() + Duration(kDeadline);
    call.done = std::move(done);
    exchanges->Send(++number, std::move(call));
  };
  loop.Run([&] {
    for (int leaf = 0; leaf < kEndless; ++leaf) {
      send(endless.Address(), [&](const HttpOutcome& outcome) {
        malformed += outcome.failure == HttpFailure::kMalformed ? 1 : 0;
      });
    }
    return 0;
  });
  int answered = 0;
  for (int request = 0; request < kRequests; ++request) {
    const auto outcome = loop.Await<HttpOutcome>(
        [&](auto done) { send(sound.Address(), std::move(done)); });
    answered += outcome.response ? 1 : 0;
    most_used = std::max(most_used, loop.Run([&] { return budget->Used(); }));
  }
  CHECK(answered == kRequests);
  CHECK(Harness::WaitUntil([&] { return malformed == kEndless; }, kDeadline));
  CHECK(most_used <= kMaxTotal + kEndless * ByteClaim::kFreeBytes);
  loop.Run([&] {
    exchanges.reset();
    return 0;
  });
  CHECK(budget->Used() == 0);
}

TEST_CASE("a watch ends if one of its messages does not") {
  const std::vector<EndlessRow> rows{
      {"a message in chunks",
       {kChunkedHead, "1000\r\n" + std::string(4096, 'm') + "\r\n"}},
      {"a chunk's extension", {kChunkedHead + "1;", std::string(4096, 'e')}},
  };
  for (const EndlessRow& row : rows) {
    CAPTURE(row.name);
    constexpr std::size_t kMaxMessageBytes = std::size_t{16} * 1024 * 1024;
    EndlessServer server(row.bytes);
    LoopRunner loop;
    std::unique_ptr<EtcdStore> store;
    std::unique_ptr<StoreWatch> watch;
    std::atomic<bool> has_ended = false;
    loop.Run([&] {
      store = EtcdStore::Create(loop.Loop(), {server.Address()}, kDeadline);
      watch = store->Watch(
          "key", 1, [](const StoreValue&) {},
          [&] {
            has_ended = true;
            watch.reset();
          });
      return 0;
    });
    CHECK(Harness::WaitUntil([&] { return has_ended.load(); }, kDeadline));
    CHECK(server.Sent() < kMaxMessageBytes + 2 * kSocketBytes);
    loop.Run([&] {
      watch.reset();
      store.reset();
      return 0;
    });
  }
}

}  // namespace bramleyspoke
