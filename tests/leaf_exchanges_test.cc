#include "connection/leaf_exchanges.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <memory>
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
        m_exchanges(*m_loop, {}, [this](const Endpoint&, bool is_reachable) {
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

  void SendCrashingRequest() {
    std::promise<void> done;
    m_loop->Post([&] {
      m_exchanges.Send(
          ++m_last_number, kLeaf,
          {"POST", "/", {}, std::string(FakePlatformLeaf::kCrashingBody)},
          std::chrono::steady_clock::now() + Duration(kEventTimeout),
          [](const HttpResponse&) { return true; },
          [&](HttpOutcome outcome) {
            CHECK(outcome.failure == HttpFailure::kClosed);
            done.set_value();
          });
    });
    done.get_future().wait();
  }

  int Unreachable() const { return m_unreachable; }

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

}  // namespace bramleyspoke
