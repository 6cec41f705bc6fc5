#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
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
constexpr int kCallers = 8;
constexpr int kRequestsPerCaller = 24;
// One in this many requests is answered twice.
constexpr int kTwiceEvery = 6;
// Connections that the daemon needs without repeats: those in use at one time,
// and as many that it keeps open.
constexpr int kMaxOwnConnections = 2 * kCallers;
constexpr std::string_view kAnsweredTwice = "answered twice";
constexpr std::string_view kOwnBody = "own answer";

std::string Replace(std::string text,
                    const std::string& part,
                    const std::string& other) {
  return text.replace(text.find(part), part.size(), other);
}

// One route to one service, whose requests may reach three leafs.
std::string Routes(const std::string& kind) {
  const std::string routes =
      Replace(SingleServiceRoutes(3, "/"), R"("route_kind":"idempotent")",
              R"("route_kind":")" + kind + '"');
  return Replace(routes, R"("max_attempts":1)", R"("max_attempts":3)");
}

// Answers the first arrival of some requests twice, and runs all others.
ScriptedLeaf::Script AnswerTwice(const LeafAnswer& first,
                                 const LeafAnswer& second,
                                 SecondAnswerTime time) {
  return [=](const ScriptedArrival& arrival) -> LeafBehaviour {
    if (arrival.body != kAnsweredTwice || arrival.number > 1) {
      return {{200, false, std::string(kOwnBody)}, kWork, std::nullopt, time};
    }
    const Duration work = first.is_not_run ? Duration::zero() : Duration(kWork);
    return {first, work, second, time};
  };
}

struct CallerAnswer {
  std::string id;
  HttpResponse response;
};

/// One daemon and one leaf that answers some requests twice.
class RelayUnderTest {
 public:
  RelayUnderTest(const std::string& kind, ScriptedLeaf::Script script)
      : m_leaf(std::move(script)) {
    m_store.Put("op/config", Routes(kind));
    m_store.Put("servers/leaf", m_leaf.Entry("s"));
    m_relay = std::make_unique<RelayProcess>(m_network->Caller(0).host,
                                             m_store.Address(), "");
    REQUIRE(WaitUntil([&] { return Send("ready", "plain").status == 200; },
                      kEventTimeout));
  }

  /// Callers send requests, one at a time each.
  void Run() {
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([this, caller] {
        for (int request = 0; request < kRequestsPerCaller; ++request) {
          SendOne(caller, request);
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  /// Answers with success and another body than the leaf's own.
  int Mixed() const {
    return Count([](const CallerAnswer& answer) {
      return answer.response.status == 200 && answer.response.body != kOwnBody;
    });
  }
  /// Requests that the leaf ran more than once.
  int RunTwice() const {
    return Count([this](const CallerAnswer& answer) {
      return m_leaf.Runs(answer.id) > 1;
    });
  }
  /// Requests that were refused as not run, and ran.
  int FalselyRefused() const {
    return Count([this](const CallerAnswer& answer) {
      return answer.response.status == 503 && m_leaf.Runs(answer.id) > 0;
    });
  }
  int Served() const {
    return Count([](const CallerAnswer& answer) {
      return answer.response.status == 200;
    });
  }
  const ScriptedLeaf& Leaf() const { return m_leaf; }
  /// Requests that were repeated at the leaf.
  int Repeated() const {
    return Count([this](const CallerAnswer& answer) {
      return m_leaf.Arrivals(answer.id) > 1;
    });
  }
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

  void SendOne(int caller, int request) {
    const std::string id =
        "c" + std::to_string(caller) + "-" + std::to_string(request);
    const bool is_twice = (caller + request) % kTwiceEvery == 0;
    CallerAnswer answer{
        id, Send(id, is_twice ? kAnsweredTwice : std::string_view("plain"))};
    const std::lock_guard lock(m_mutex);
    m_answers.push_back(std::move(answer));
  }

  template <typename Predicate>
  int Count(Predicate predicate) const {
    return static_cast<int>(
        std::count_if(m_answers.begin(), m_answers.end(), predicate));
  }

  std::unique_ptr<Harness::FleetNetwork> m_network =
      Harness::FleetNetwork::Create().value();
  FakePlatformStore m_store;
  ScriptedLeaf m_leaf;
  std::unique_ptr<RelayProcess> m_relay;
  std::mutex m_mutex;
  std::vector<CallerAnswer> m_answers;
};

}  // namespace

// Guards against the second answer to a failed attempt that is taken for the
// answer of the request's next attempt.
TEST_CASE("a late second answer is not passed on for a repeated request") {
  SecondAnswerTime time = SecondAnswerTime::kWithFirst;
  SUBCASE("in the segment of the first one") {}
  SUBCASE("where the next response is expected") {
    time = SecondAnswerTime::kBeforeNext;
  }
  const LeafAnswer failure{500, false, "failure"};
  const LeafAnswer late{200, false, "late answer"};
  RelayUnderTest relay("idempotent", AnswerTwice(failure, late, time));
  relay.Run();
  CHECK_MESSAGE(relay.Mixed() == 0, relay.Log());
  CHECK(relay.Leaf().SecondAnswers() > 0);
  CHECK(relay.Leaf().Connections() <= kMaxOwnConnections + relay.Repeated());
  MESSAGE(relay.Leaf().Connections()
          << " connections for " << relay.Repeated() << " repeated requests");
  CHECK(relay.Served() == kCallers * kRequestsPerCaller);
}

// Guards against a copy of a refusal that is taken for the refusal of the next
// attempt, which runs.
TEST_CASE(
    "a copy of a refusal does not say that a repeated request is not run") {
  SecondAnswerTime time = SecondAnswerTime::kWithFirst;
  SUBCASE("in the segment of the first one") {}
  SUBCASE("where the next response is expected") {
    time = SecondAnswerTime::kBeforeNext;
  }
  const LeafAnswer refusal{503, true, "full"};
  RelayUnderTest relay("non_idempotent", AnswerTwice(refusal, refusal, time));
  relay.Run();
  CHECK_MESSAGE(relay.RunTwice() == 0, relay.Log());
  CHECK(relay.FalselyRefused() == 0);
  CHECK(relay.Leaf().SecondAnswers() > 0);
  CHECK(relay.Leaf().Connections() <= kMaxOwnConnections + relay.Repeated());
  MESSAGE(relay.Leaf().Connections()
          << " connections for " << relay.Repeated() << " repeated requests");
  CHECK(relay.Served() == kCallers * kRequestsPerCaller);
}

}  // namespace bramleyspoke
