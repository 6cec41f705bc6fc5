#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "fleet.h"
#include "fleet_network.h"
#include "platform/wire_names.h"
#include "relay_platform.h"
#include "relay_process.h"
#include "scripted_leaf.h"

namespace bramleyspoke {
namespace {

using Harness::WaitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kEventTimeout{30};
constexpr milliseconds kWork{40};
constexpr int kCallers = 3;
constexpr int kRequestsPerCaller = 120;
// One in this many requests is refused when it first arrives at the leaf.
constexpr int kRefusedEvery = 6;
// Fewer retries than requests that need one.
constexpr std::string_view kFewRepeats = R"({"ratio":0.1,"slack":10})";
constexpr std::string_view kRefusedOnce = "refused once";
// A quarter of the time that a request has.
constexpr seconds kMaxHeld{1};
constexpr milliseconds kMaxRetryAfter{500};
// A caller sends a request again at most this often.
constexpr int kMaxSends = 10;

std::string Replace(std::string text,
                    const std::string& part,
                    const std::string& other) {
  return text.replace(text.find(part), part.size(), other);
}

std::string Routes() {
  const std::string routes =
      Replace(SingleServiceRoutes(3, "/"), R"("timeout_ms":2000)",
              R"("timeout_ms":4000)");
  return Replace(routes, R"("max_attempts":1)", R"("max_attempts":3)");
}

LeafBehaviour RefuseOnce(const ScriptedArrival& arrival) {
  if (arrival.body == kRefusedOnce && arrival.number == 1) {
    return {{503, true, "full"}, Duration::zero(), std::nullopt};
  }
  return {{200, false, "answer"}, kWork, std::nullopt};
}

/// One daemon and one leaf, and callers that send one request at a time.
class RelayUnderTest {
 public:
  RelayUnderTest() : m_leaf(RefuseOnce) {
    m_store.Put("op/config", Routes());
    m_store.Put("servers/leaf", m_leaf.Entry("s"));
    m_relay = std::make_unique<RelayProcess>(
        m_network->Caller(0).host, m_store.Address(), "", DaemonLocation{},
        RelayProcess::kDefaultStopBound, kFewRepeats);
    REQUIRE(WaitUntil([&] { return Send("ready", "plain").status == 200; },
                      kEventTimeout));
  }

  void Run() {
    const TimePoint begin = std::chrono::steady_clock::now();
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([this, caller] {
        for (int request = 0; request < kRequestsPerCaller; ++request) {
          SendUntilAnswered(caller, request);
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    m_taken = std::chrono::steady_clock::now() - begin;
  }

  int Answered() const { return m_answered; }
  int Refused() const { return m_refused; }
  /// Refusals that do not say that the request has not run, and when to come
  /// back.
  int Unclear() const { return m_unclear; }
  Duration LongestHeld() const { return m_longest_held; }
  Duration Taken() const { return m_taken; }
  std::string Log() const { return m_relay->Log(); }

 private:
  HttpResponse Send(const std::string& id, std::string_view body) const {
    return SendRequest(
        m_relay->Callers(),
        {"POST",
         "/lookup",
         {{"Host", "h"}, {std::string(Platform::kRequestId), id}},
         std::string(body)});
  }

  void SendUntilAnswered(int caller, int request) {
    const std::string id =
        "c" + std::to_string(caller) + "-" + std::to_string(request);
    const bool is_refused = (caller + request) % kRefusedEvery == 0;
    const std::string_view body =
        is_refused ? kRefusedOnce : std::string_view("plain");
    for (int send = 0; send < kMaxSends; ++send) {
      const TimePoint sent_at = std::chrono::steady_clock::now();
      const HttpResponse response = Send(id, body);
      if (response.status == 200) {
        const std::lock_guard lock(m_mutex);
        ++m_answered;
        return;
      }
      const Duration held = std::chrono::steady_clock::now() - sent_at;
      std::this_thread::sleep_for(RecordRefusal(response, held));
    }
  }

  Duration RecordRefusal(const HttpResponse& response, Duration held) {
    const auto found =
        std::find_if(response.headers.begin(), response.headers.end(),
                     [](const HttpHeader& header) {
                       return header.name == Platform::kRetryAfter;
                     });
    const std::lock_guard lock(m_mutex);
    ++m_refused;
    m_longest_held = std::max(m_longest_held, held);
    if (response.status != 503 || found == response.headers.end()) {
      ++m_unclear;
      return Duration::zero();
    }
    const auto retry_after = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::stod(found->value)));
    m_unclear += retry_after > kMaxRetryAfter ? 1 : 0;
    return std::min<Duration>(retry_after, kMaxRetryAfter);
  }

  std::unique_ptr<Harness::FleetNetwork> m_network =
      Harness::FleetNetwork::Create().value();
  FakePlatformStore m_store;
  ScriptedLeaf m_leaf;
  std::unique_ptr<RelayProcess> m_relay;
  std::mutex m_mutex;
  int m_answered = 0;
  int m_refused = 0;
  int m_unclear = 0;
  Duration m_longest_held{0};
  Duration m_taken{0};
};

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

// Guards against callers that all wait, to their deadline, for a retry budget
// which only their own next requests would refill.
TEST_CASE("callers are not held for a retry budget that they alone refill") {
  RelayUnderTest relay;
  relay.Run();
  MESSAGE(Milliseconds(relay.Taken())
          << " ms, " << relay.Answered() << " answered, " << relay.Refused()
          << " refused, held up to " << Milliseconds(relay.LongestHeld())
          << " ms");
  CHECK(relay.Answered() == kCallers * kRequestsPerCaller);
  CHECK(relay.Unclear() == 0);
  CHECK_MESSAGE(relay.LongestHeld() < kMaxHeld, relay.Log());
  CHECK(relay.Taken() < seconds(20));
}

}  // namespace bramleyspoke
