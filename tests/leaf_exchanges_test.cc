#include "connection/leaf_exchanges.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "connection/event_loop.h"
#include "fleet.h"
#include "relay_platform.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;

const Endpoint kLeaf{"127.0.8.1", 9000};
constexpr int kPoolSize = 2;
constexpr std::chrono::seconds kEventTimeout{10};
constexpr std::chrono::milliseconds kRestartDelay{900};
// Age from which a connection is taken as accepted, with a margin.
constexpr std::chrono::milliseconds kAcceptedAge{700};

/// Exchanges with one leaf over pooled connections.
class LeafFixture {
 public:
  LeafFixture()
      : m_loop(EventLoop::Create()),
        m_exchanges(*m_loop,
                    {},
                    [this](const Endpoint&, bool is_reachable, TimePoint) {
                      ++(is_reachable ? m_reachable : m_unreachable);
                    }) {
    leaf.RestartAfter(kRestartDelay, [] {});
    m_loop->Post([this] { m_exchanges.SetPoolSizes({{kLeaf, kPoolSize}}); });
    m_loop->Start();
  }
  ~LeafFixture() { m_loop->Stop(); }

  /// Waits until the pool has been filled `count` times.
  void WaitForPool(int count) {
    REQUIRE(WaitUntil([&] { return m_reachable >= count * kPoolSize; },
                      kEventTimeout));
    std::this_thread::sleep_for(kAcceptedAge);
  }

  /// Sends a request with this id; without one, it has an id of its own.
  HttpOutcome Send(const std::string& body,
                   bool may_send = true,
                   std::optional<std::string> request_id = std::nullopt) {
    std::promise<HttpOutcome> done;
    m_loop->Post([&] {
      LeafCall call;
      call.leaf = kLeaf;
      call.request = {"POST", "/", {}, body};
      call.request_id =
          request_id.value_or("own-" + std::to_string(m_last_number));
      call.deadline =
          std::chrono::steady_clock::now() + Duration(kEventTimeout);
      call.may_send = [may_send] { return may_send; };
      call.done = [&](HttpOutcome outcome) {
        done.set_value(std::move(outcome));
      };
      m_exchanges.Send(++m_last_number, std::move(call));
    });
    return done.get_future().get();
  }

  /// Sends a request whose body is `text` when a connection is ready. Returns
  /// whether the call returned before that.
  bool SendCompletedLater(const std::string& text) {
    std::promise<bool> done;
    m_loop->Post([&] {
      const auto is_complete = std::make_shared<bool>(false);
      const auto was_early = std::make_shared<bool>(false);
      LeafCall call;
      call.leaf = kLeaf;
      call.request = {"POST", "/", {}, "as made"};
      call.deadline =
          std::chrono::steady_clock::now() + Duration(kEventTimeout);
      call.before_send = [text, is_complete](HttpRequest& request) {
        request.body = text;
        *is_complete = true;
      };
      call.done = [&done, was_early](const HttpOutcome&) {
        done.set_value(*was_early);
      };
      m_exchanges.Send(++m_last_number, std::move(call));
      *was_early = !*is_complete;
    });
    return done.get_future().get();
  }

  void SendCrashingRequest() {
    const HttpOutcome outcome =
        Send(std::string(FakePlatformLeaf::kCrashingBody));
    CHECK(outcome.failure == HttpFailure::kClosed);
  }

  int Unreachable() const { return m_unreachable; }
  std::size_t OpenConnections() {
    std::promise<std::size_t> count;
    m_loop->Post([&] { count.set_value(m_exchanges.OpenConnections()); });
    return count.get_future().get();
  }

  FakePlatformLeaf leaf{"leaf", kLeaf};

 private:
  std::unique_ptr<EventLoop> m_loop;
  std::atomic<int> m_reachable = 0;
  std::atomic<int> m_unreachable = 0;
  ExchangeNumber m_last_number = 0;
  LeafExchanges m_exchanges;
};

}  // namespace

TEST_CASE("a leaf that crashes again is found unreachable while it is away") {
  LeafFixture fixture;
  for (int crash = 0; crash < 3; ++crash) {
    fixture.WaitForPool(crash + 1);
    const int before = fixture.Unreachable();
    fixture.SendCrashingRequest();
    CHECK(WaitUntil([&] { return fixture.Unreachable() > before; },
                    kRestartDelay / 2));
  }
}

// The time left was computed when the call was made. While connections opened
// slowly, leafs were given more time than the caller had left.
TEST_CASE("a request is completed when its connection is ready") {
  LeafFixture fixture;
  CHECK(fixture.SendCompletedLater("as sent"));
  const auto arrivals = fixture.leaf.Arrivals();
  REQUIRE(arrivals.size() == 1);
  CHECK(arrivals.front().body == "as sent");
}

// Guards against a second answer to an attempt that is taken for the answer to
// the request's next attempt on the same connection.
TEST_CASE("no connection carries a request twice") {
  LeafFixture fixture;
  fixture.WaitForPool(1);
  std::set<std::uint64_t> connections;
  constexpr std::size_t kAttempts = 6;
  for (std::size_t attempt = 0; attempt < kAttempts; ++attempt) {
    connections.insert(fixture.Send("repeated", true, "a").position.connection);
    fixture.Send("other");
  }
  CHECK(connections.size() == kAttempts);
  CHECK(fixture.OpenConnections() <= kPoolSize);
}

TEST_CASE("a request without an id gets an unused connection") {
  LeafFixture fixture;
  fixture.WaitForPool(1);
  fixture.Send("other");
  fixture.Send("other");
  CHECK(fixture.Send("unidentified", true, "").position.exchange == 1);
  CHECK(fixture.Send("unidentified", true, "").position.exchange == 1);
}

TEST_CASE("a request that its leaf no longer wants is not sent") {
  LeafFixture fixture;
  SUBCASE("on a pooled connection") {
    fixture.WaitForPool(1);
  }
  SUBCASE("on a connection that was opened for it") {}
  const HttpOutcome outcome = fixture.Send("unwanted", false);
  CHECK_FALSE(outcome.response.has_value());
  CHECK(outcome.failure == HttpFailure::kConnect);
  CHECK(fixture.Send("wanted").response.has_value());
  const auto arrivals = fixture.leaf.Arrivals();
  REQUIRE(arrivals.size() == 1);
  CHECK(arrivals.front().body == "wanted");
}

}  // namespace bramleyspoke
