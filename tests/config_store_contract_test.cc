#include <doctest/doctest.h>

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "connection/etcd_store.h"
#include "connection/http_client.h"
#include "connection/posted_config_store.h"
#include "loop_runner.h"
#include "stand_in/config_store_server.h"

namespace bramleyspoke {
namespace {

using StandIn::CallFault;
using StandIn::CallFaultMode;
using StandIn::ConfigStoreServer;

constexpr Duration kCallTimeout = std::chrono::milliseconds(100);
constexpr Duration kDelayBeyondTimeout = std::chrono::milliseconds(200);
const Endpoint kAnyPort{"127.0.0.1", 0};
const Endpoint kUnusedAddress{"127.0.0.1", 1};

// Runs the stand-in server on one loop and the client under test on another.
class StoreFixture {
 public:
  StoreFixture()
      : m_server(
            ConfigStoreServer::Create(m_server_loop.Loop(),
                                      StandIn::ServicePorts{kAnyPort, kAnyPort})
                .value()),
        m_store(MakeStore({m_server->Address()})) {}

  ~StoreFixture() {
    m_client_loop.Run([this] { m_store = nullptr; });
    m_server_loop.Run([this] { m_server = nullptr; });
  }

  std::unique_ptr<EtcdStore> MakeStore(std::vector<Endpoint> servers) {
    return EtcdStore::Create(m_client_loop.Loop(), std::move(servers),
                             kCallTimeout);
  }

  void UseServers(std::vector<Endpoint> servers) {
    m_store = MakeStore(std::move(servers));
  }

  void Apply(const CallFault& fault) {
    m_server_loop.Run([&] { m_server->Apply(fault); });
  }

  StoreRead Get() {
    return m_client_loop.Await<StoreRead>(
        [this](auto done) { m_store->Get("key", done); });
  }

  StoreWrite Swap(std::int64_t expected, const std::string& value) {
    return m_client_loop.Await<StoreWrite>([&](auto done) {
      m_store->CompareAndSwap("key", expected, value, done);
    });
  }

  std::string Calls() {
    const auto outcome = HttpCallAndWait(m_server->Control(),
                                         HttpRequest{"GET", "/calls", {}, ""},
                                         std::chrono::seconds(5));
    return outcome.response->body;
  }

  LoopRunner& ClientLoop() { return m_client_loop; }
  EtcdStore& Store() { return *m_store; }
  Endpoint Address() const { return m_server->Address(); }

 private:
  LoopRunner m_server_loop;
  LoopRunner m_client_loop;
  std::unique_ptr<ConfigStoreServer> m_server;
  std::unique_ptr<EtcdStore> m_store;
};

// Records the changes that a watch reports, and its end.
class WatchRecorder {
 public:
  WatchRecorder(StoreFixture& fixture, std::int64_t revision)
      : m_fixture(fixture) {
    m_fixture.ClientLoop().Run([&] {
      m_watch = m_fixture.Store().Watch(
          "key", revision,
          [this](const StoreValue& value) { Add(value.value); },
          [this] { Add("(end)"); });
    });
  }

  ~WatchRecorder() {
    m_fixture.ClientLoop().Run([this] { m_watch = nullptr; });
  }

  std::vector<std::string> WaitFor(std::size_t count) {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::seconds(10),
                       [&] { return m_reports.size() >= count; });
    return m_reports;
  }

 private:
  void Add(const std::string& value) {
    const std::lock_guard lock(m_mutex);
    m_reports.push_back(value);
    m_changed.notify_all();
  }

  StoreFixture& m_fixture;
  std::unique_ptr<StoreWatch> m_watch;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::string> m_reports;
};

struct FaultCase {
  std::string name;
  CallFault fault;
  StoreOutcome write;
  /// Whether the write takes effect, now or later.
  bool is_written;
  StoreOutcome read;
};

const FaultCase kFaultCases[] = {
    {"no fault", {}, StoreOutcome::kOk, true, StoreOutcome::kOk},
    {"not listening",
     {CallFaultMode::kDown, {}, 0, {}},
     StoreOutcome::kUnavailable,
     false,
     StoreOutcome::kUnavailable},
    {"response lost after the write took effect",
     {CallFaultMode::kLoseAnswers, {}, 0, {}},
     StoreOutcome::kUnknown,
     true,
     StoreOutcome::kUnavailable},
    {"slower than the timeout",
     {CallFaultMode::kSlow, kDelayBeyondTimeout, 0, {}},
     StoreOutcome::kUnknown,
     true,
     StoreOutcome::kUnavailable},
    {"error response of a server without a leader",
     {CallFaultMode::kUnavailable, {}, 0, {}},
     StoreOutcome::kUnknown,
     false,
     StoreOutcome::kUnavailable},
    {"response that is not JSON",
     {CallFaultMode::kGarbage, {}, 0, {}},
     StoreOutcome::kUnknown,
     false,
     StoreOutcome::kUnavailable},
};

}  // namespace

TEST_CASE("a store call under a fault reports what is known of its effect") {
  for (const FaultCase& row : kFaultCases) {
    CAPTURE(row.name);
    StoreFixture fixture;
    fixture.Apply(row.fault);
    CHECK(fixture.Get().outcome == row.read);
    CHECK(fixture.Swap(0, "value").outcome == row.write);
    fixture.Apply(CallFault{});
    while (row.is_written && fixture.Get().value.revision == 0) {
      std::this_thread::yield();
    }
    CHECK(fixture.Get().value.value == (row.is_written ? "value" : ""));
  }
}

TEST_CASE(
    "a compare-and-swap writes only if the revision is the expected one") {
  StoreFixture fixture;
  const StoreWrite created = fixture.Swap(0, "one");
  REQUIRE(created.outcome == StoreOutcome::kOk);
  CHECK(fixture.Swap(0, "two").outcome == StoreOutcome::kConflict);
  CHECK(fixture.Swap(created.revision + 1, "two").outcome ==
        StoreOutcome::kConflict);
  CHECK(fixture.Get().value.value == "one");
  const StoreWrite swapped = fixture.Swap(created.revision, "two");
  CHECK(swapped.outcome == StoreOutcome::kOk);
  CHECK(swapped.revision == fixture.Get().value.revision);
}

TEST_CASE("of two concurrent writers exactly one succeeds") {
  StoreFixture fixture;
  const auto other = fixture.MakeStore({fixture.Address()});
  std::int64_t revision = 0;
  for (int round = 0; round < 20; ++round) {
    std::vector<StoreWrite> writes;
    const int winners = fixture.ClientLoop().Await<int>([&](auto done) {
      const auto count = [&writes, done](const StoreWrite& write) {
        writes.push_back(write);
        if (writes.size() == 2) {
          done((writes[0].outcome == StoreOutcome::kOk ? 1 : 0) +
               (writes[1].outcome == StoreOutcome::kOk ? 1 : 0));
        }
      };
      fixture.Store().CompareAndSwap("key", revision, "a", count);
      other->CompareAndSwap("key", revision, "b", count);
    });
    REQUIRE(winners == 1);
    revision = fixture.Get().value.revision;
  }
}

TEST_CASE("a call goes to the next server only if it was not sent") {
  StoreFixture fixture;
  fixture.UseServers({kUnusedAddress, fixture.Address()});
  CHECK(fixture.Swap(0, "value").outcome == StoreOutcome::kOk);
  fixture.Apply({CallFaultMode::kLoseAnswers, {}, 0, {}});
  fixture.UseServers({fixture.Address(), fixture.Address()});
  CHECK(fixture.Swap(0, "value").outcome == StoreOutcome::kUnknown);
  CHECK(fixture.Calls().find(R"("txn":2)") != std::string::npos);
}

TEST_CASE("a watch may be closed on another thread while its stream ends") {
  constexpr int kRounds = 300;
  StoreFixture fixture;
  PostedConfigStore store(fixture.ClientLoop().Loop(), fixture.Store());
  for (int round = 0; round < kRounds; ++round) {
    const std::string value = std::to_string(round);
    std::promise<void> is_open;
    auto watch = store.Watch(
        "key", 0,
        [&](const StoreValue& change) {
          if (change.value == value) {
            is_open.set_value();
          }
        },
        [] {});
    fixture.Swap(fixture.Get().value.revision, value);
    is_open.get_future().wait();
    // The server closes the streams of all watches.
    std::thread breaker([&] {
      fixture.Apply({CallFaultMode::kBreakWatches, {}, 0, {}});
    });
    watch.reset();
    breaker.join();
    // No callback refers to this round any more.
    fixture.ClientLoop().Run([] { return true; });
  }
}

TEST_CASE("a watch reports each change after its revision, then its end") {
  StoreFixture fixture;
  const std::int64_t first = fixture.Swap(0, "one").revision;
  const std::int64_t second = fixture.Swap(first, "two").revision;
  WatchRecorder from_first(fixture, first);
  CHECK(from_first.WaitFor(1) == std::vector<std::string>{"two"});
  WatchRecorder from_now(fixture, second);
  const std::int64_t third = fixture.Swap(second, "three").revision;
  CHECK(from_first.WaitFor(2) == std::vector<std::string>{"two", "three"});
  CHECK(from_now.WaitFor(1) == std::vector<std::string>{"three"});

  SUBCASE("the watch breaks") {
    fixture.Apply({CallFaultMode::kBreakWatches, {}, 0, {}});
    CHECK(from_now.WaitFor(2) == std::vector<std::string>{"three", "(end)"});
  }
  SUBCASE("the store becomes unavailable") {
    fixture.Apply({CallFaultMode::kDown, {}, 0, {}});
    CHECK(from_now.WaitFor(2) == std::vector<std::string>{"three", "(end)"});
    WatchRecorder while_down(fixture, third);
    CHECK(while_down.WaitFor(1) == std::vector<std::string>{"(end)"});
  }
  SUBCASE("the store no longer has the requested changes") {
    const std::string put = R"({"key":"b3RoZXI=","value":"b3RoZXI="})";
    for (int i = 0; i < 1001; ++i) {
      HttpCallAndWait(fixture.Address(),
                      HttpRequest{"POST", "/v3/kv/put", {}, put},
                      std::chrono::seconds(5));
    }
    WatchRecorder too_late(fixture, first);
    CHECK(too_late.WaitFor(1) == std::vector<std::string>{"(end)"});
  }
}

}  // namespace bramleyspoke
