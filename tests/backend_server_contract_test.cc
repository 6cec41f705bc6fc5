#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "connection/leaf_pool.h"
#include "loop_runner.h"
#include "stand_in/execution_log.h"
#include "stand_in/leaf.h"

namespace bramleyspoke {
namespace {

using StandIn::ExecutionLog;
using StandIn::Leaf;
using StandIn::LeafConfig;
using StandIn::LeafFault;
using StandIn::LeafFaultKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLongTimeout = seconds(10);
constexpr Duration kShortTimeout = milliseconds(50);

LeafConfig MakeConfig() {
  LeafConfig config;
  config.listen = {"127.0.0.1", 0};
  config.service = "svc";
  config.shards = {0, 1, 2};
  config.versions = {{7, "a"}};
  config.service_time = milliseconds(1);
  return config;
}

LeafPoolOptions LongWaitOptions() {
  LeafPoolOptions options;
  options.wait_timeout = kLongTimeout;
  return options;
}

// The stand-in leaf runs on one loop and the pool under test on another.
class LeafFixture {
 public:
  explicit LeafFixture(const LeafConfig& config = MakeConfig(),
                       const LeafPoolOptions& options = LongWaitOptions())
      : m_leaf(Leaf::Create(m_leaf_loop.Loop(), m_log, config).value()),
        m_address(m_leaf->Address()),
        m_pool(LeafPool::Create(m_pool_loop.Loop(), options)) {}

  ~LeafFixture() {
    m_pool_loop.Run([this] { m_pool = nullptr; });
    m_leaf_loop.Run([this] { m_leaf = nullptr; });
  }

  static Attempt MakeAttempt(const std::string& id, Duration time) {
    Attempt attempt;
    attempt.attempt_id = id;
    attempt.request_id = "request-" + id;
    attempt.service = "svc";
    attempt.version = {7, "a"};
    attempt.shard = 1;
    attempt.query = "query " + id;
    attempt.limit = 2;
    attempt.deadline = std::chrono::steady_clock::now() + time;
    return attempt;
  }

  AttemptOutcome Send(const Attempt& attempt) {
    return m_pool_loop.Await<AttemptOutcome>(
        [&](auto done) { m_pool->Send(m_address, attempt, done); });
  }

  AttemptOutcome Send(const std::string& id, Duration time = kLongTimeout) {
    return Send(MakeAttempt(id, time));
  }

  /// Applies the fault and sends the attempt before the pool's loop can handle
  /// the fault's effect.
  AttemptOutcome SendDirectlyAfter(const LeafFault& fault,
                                   const Attempt& attempt) {
    return m_pool_loop.Await<AttemptOutcome>([&](auto done) {
      Apply(fault);
      m_pool->Send(m_address, attempt, done);
    });
  }

  /// Sends without waiting for the outcome.
  std::future<AttemptOutcome> Start(const Attempt& attempt) {
    auto promise = std::make_shared<std::promise<AttemptOutcome>>();
    m_pool_loop.Run([&] {
      m_pool->Send(m_address, attempt, [promise](AttemptOutcome outcome) {
        promise->set_value(std::move(outcome));
      });
    });
    return promise->get_future();
  }

  void Cancel(const std::string& attempt_id) {
    m_pool_loop.Run([&] { m_pool->Cancel(m_address, attempt_id); });
  }

  std::optional<LeafStatus> FetchStatus() {
    return m_pool_loop.Await<std::optional<LeafStatus>>(
        [this](auto done) { m_pool->FetchStatus(m_address, done); });
  }

  void SetLimit(std::uint32_t limit) {
    m_pool_loop.Run([&] { m_pool->SetConnectionLimit(m_address, limit); });
  }

  LeafPoolCounters Counters() {
    return m_pool_loop.Run([this] { return m_pool->Counters(); });
  }

  void Apply(const LeafFault& fault) {
    m_leaf_loop.Run([&] { m_leaf->Apply(fault); });
  }

  StandIn::LeafCounts LeafCounts() {
    return m_leaf_loop.Run([this] { return m_leaf->Counts(); });
  }

  bool HasLogged(const std::string& attempt_id, const std::string& event) {
    const std::string log = m_log.LinesSince(0);
    return log.find("\"event\":\"" + event + "\",\"request_id\":\"request-" +
                    attempt_id + "\"") != std::string::npos;
  }

  void WaitForLog(const std::string& attempt_id, const std::string& event) {
    while (!HasLogged(attempt_id, event)) {
      std::this_thread::yield();
    }
  }

 private:
  ExecutionLog m_log;
  LoopRunner m_leaf_loop;
  LoopRunner m_pool_loop;
  std::unique_ptr<Leaf> m_leaf;
  Endpoint m_address;
  std::unique_ptr<LeafPool> m_pool;
};

LeafFault Fault(LeafFaultKind kind, double number = 0, std::string text = {}) {
  LeafFault fault;
  fault.kind = kind;
  fault.number = number;
  fault.text = std::move(text);
  return fault;
}

struct FaultCase {
  std::string name;
  LeafFault fault;
  /// Whether a connection is open before the fault is applied.
  bool is_connected;
  Duration time;
  AttemptResult result;
  LeafReason reason;
  Verdict verdict;
};

using Kind = LeafFaultKind;
using End = AttemptResult;
using Reason = LeafReason;

const FaultCase kFaultCases[] = {
    {"no fault", Fault(Kind::kNone), false, kLongTimeout, End::kAnswered,
     Reason::kNone, Verdict::kRan},
    {"deadline passed before sending", Fault(Kind::kNone), true,
     Duration::zero(), End::kNotSent, Reason::kDeadline, Verdict::kNotRun},
    {"not listening", Fault(Kind::kCrash), false, kLongTimeout, End::kNotSent,
     Reason::kNone, Verdict::kNotRun},
    {"frozen before a connection was open", Fault(Kind::kFreeze), false,
     kShortTimeout, End::kNotSent, Reason::kNone, Verdict::kNotRun},
    {"frozen", Fault(Kind::kFreeze), true, kShortTimeout, End::kTimedOut,
     Reason::kNone, Verdict::kMayHaveRun},
    {"crashes while running the query", Fault(Kind::kCrashOn, 0, "query id"),
     true, kLongTimeout, End::kLost, Reason::kNone, Verdict::kMayHaveRun},
    {"too slow for the deadline", Fault(Kind::kSlow, 1000), true, kShortTimeout,
     End::kRefused, Reason::kDeadline, Verdict::kNotRun},
    {"responds after the deadline", Fault(Kind::kLateAnswer, 150), true,
     kShortTimeout, End::kTimedOut, Reason::kNone, Verdict::kMayHaveRun},
    {"closes the connection instead of responding", Fault(Kind::kDropAnswer),
     true, kLongTimeout, End::kLost, Reason::kNone, Verdict::kMayHaveRun},
    {"closes the connection within the response", Fault(Kind::kHalfAnswer),
     true, kLongTimeout, End::kLost, Reason::kNone, Verdict::kMayHaveRun},
    {"responds to another attempt", Fault(Kind::kWrongId), true, kLongTimeout,
     End::kWrongAnswer, Reason::kNone, Verdict::kMayHaveRun},
    {"responds for another shard", Fault(Kind::kWrongEcho, 0, "shard"), true,
     kLongTimeout, End::kWrongAnswer, Reason::kNone, Verdict::kMayHaveRun},
    {"responds from another version", Fault(Kind::kWrongEcho, 0, "version"),
     true, kLongTimeout, End::kWrongAnswer, Reason::kNone,
     Verdict::kMayHaveRun},
    {"responds from another layout", Fault(Kind::kWrongEcho, 0, "layout"), true,
     kLongTimeout, End::kWrongAnswer, Reason::kNone, Verdict::kMayHaveRun},
    {"sheds load", Fault(Kind::kShed, 1), true, kLongTimeout, End::kRefused,
     Reason::kShed, Verdict::kNotRun},
    {"has no free slot", Fault(Kind::kRefuse, 0, "no_slot"), true, kLongTimeout,
     End::kRefused, Reason::kNoSlot, Verdict::kNotRun},
    {"refuses for an unknown reason", Fault(Kind::kRefuse, 0, "mood"), true,
     kLongTimeout, End::kRefused, Reason::kOther, Verdict::kNotRun},
    {"drains and still responds", Fault(Kind::kDrain), true, kLongTimeout,
     End::kAnswered, Reason::kNone, Verdict::kRan},
    {"drains and refuses", Fault(Kind::kDrain, 1), true, kLongTimeout,
     End::kRefused, Reason::kDraining, Verdict::kNotRun},
    {"no longer has the version", Fault(Kind::kSetVersions), true, kLongTimeout,
     End::kRefused, Reason::kVersionMissing, Verdict::kNotRun},
    {"no longer has the shard", Fault(Kind::kSetShards), true, kLongTimeout,
     End::kRefused, Reason::kVersionMissing, Verdict::kNotRun},
};

}  // namespace

TEST_CASE(
    "an attempt to a faulty leaf ends with the matching result and verdict") {
  for (const FaultCase& row : kFaultCases) {
    CAPTURE(row.name);
    LeafFixture fixture;
    if (row.is_connected) {
      REQUIRE(fixture.Send("first").result == AttemptResult::kAnswered);
    }
    fixture.Apply(row.fault);
    const AttemptOutcome outcome = fixture.Send("id", row.time);
    CHECK(ToString(outcome.result) == ToString(row.result));
    CHECK(ToString(outcome.reason) == ToString(row.reason));
    CHECK(ToString(outcome.verdict) == ToString(row.verdict));
    CHECK(outcome.draining == (row.fault.kind == LeafFaultKind::kDrain));
    const bool has_started = fixture.HasLogged("id", "started");
    CHECK_FALSE((has_started && outcome.verdict == Verdict::kNotRun));
    CHECK((has_started || outcome.verdict != Verdict::kRan));
  }
}

TEST_CASE("an attempt to a leaf at its connection limit is not sent") {
  LeafConfig config = MakeConfig();
  config.connections = 0;
  LeafFixture fixture(config);
  const AttemptOutcome outcome = fixture.Send("id");
  CHECK(outcome.result == AttemptResult::kNotSent);
  CHECK(outcome.verdict == Verdict::kNotRun);
}

TEST_CASE("an attempt is not sent on a connection that the leaf has closed") {
  LeafFixture fixture;
  fixture.Send("first");
  const AttemptOutcome outcome =
      fixture.SendDirectlyAfter(Fault(LeafFaultKind::kRestart),
                                LeafFixture::MakeAttempt("id", kLongTimeout));
  CHECK(ToString(outcome.result) == ToString(AttemptResult::kAnswered));
}

TEST_CASE("concurrent attempts keep to the limit and get their own responses") {
  LeafFixture fixture;
  fixture.SetLimit(3);
  std::vector<std::future<AttemptOutcome>> pending;
  for (std::uint32_t i = 0; i < 60; ++i) {
    Attempt attempt = LeafFixture::MakeAttempt(std::to_string(i), kLongTimeout);
    attempt.shard = i % 3;
    pending.push_back(fixture.Start(attempt));
  }
  for (std::size_t i = 0; i < pending.size(); ++i) {
    const AttemptOutcome outcome = pending[i].get();
    REQUIRE(outcome.result == AttemptResult::kAnswered);
    REQUIRE(outcome.hits.size() == 2);
    CHECK(outcome.hits[0].id == "svc/" + std::to_string(i % 3) + "/7/0");
    CHECK(outcome.hits[1].text == "a: query " + std::to_string(i));
  }
  CHECK(fixture.FetchStatus());
  CHECK(fixture.LeafCounts().connections_max <= 3);
  CHECK(fixture.LeafCounts().concurrent_max <= 2);
  CHECK(fixture.Counters().opened <= 3);
}

TEST_CASE(
    "a connection with a late response outstanding carries no new attempt") {
  LeafPoolOptions options = LongWaitOptions();

  SUBCASE("it is reused once the late response has been read") {
    LeafFixture fixture(MakeConfig(), options);
    fixture.SetLimit(1);
    fixture.Send("first");
    LeafFault late = Fault(LeafFaultKind::kLateAnswer, 100);
    late.count = 1;
    fixture.Apply(late);
    CHECK(fixture.Send("late", kShortTimeout).result ==
          AttemptResult::kTimedOut);
    const AttemptOutcome next = fixture.Send("next");
    CHECK(next.result == AttemptResult::kAnswered);
    CHECK(next.hits.at(0).text == "a: query next");
    CHECK(fixture.Counters().late_answers == 1);
    CHECK(fixture.Counters().opened == 1);
  }
  SUBCASE("it is closed when the response is overdue") {
    options.late_answer_time = milliseconds(10);
    LeafFixture fixture(MakeConfig(), options);
    fixture.SetLimit(1);
    fixture.Send("first");
    fixture.Apply(Fault(LeafFaultKind::kFreeze));
    CHECK(fixture.Send("lost", kShortTimeout).result ==
          AttemptResult::kTimedOut);
    while (fixture.Counters().closed == 0) {
      std::this_thread::yield();
    }
    fixture.Apply(Fault(LeafFaultKind::kNone));
    CHECK(fixture.Send("next").result == AttemptResult::kAnswered);
    CHECK(fixture.Counters().opened == 2);
  }
}

TEST_CASE(
    "a cancelled attempt ends at once and reports whether it may have run") {
  LeafFixture fixture;
  fixture.Apply(Fault(LeafFaultKind::kSlow, 5000));

  SUBCASE("running") {
    auto pending = fixture.Start(LeafFixture::MakeAttempt("id", kLongTimeout));
    fixture.WaitForLog("id", "started");
    fixture.Cancel("id");
    const AttemptOutcome outcome = pending.get();
    CHECK(outcome.result == AttemptResult::kCancelled);
    CHECK(outcome.verdict == Verdict::kMayHaveRun);
    CHECK_FALSE(fixture.HasLogged("id", "finished"));
  }
  SUBCASE("waiting for a connection") {
    fixture.SetLimit(2);
    auto first = fixture.Start(LeafFixture::MakeAttempt("first", kLongTimeout));
    fixture.WaitForLog("first", "started");
    auto second = fixture.Start(LeafFixture::MakeAttempt("id", kLongTimeout));
    fixture.Cancel("id");
    const AttemptOutcome outcome = second.get();
    CHECK(outcome.result == AttemptResult::kCancelled);
    CHECK(outcome.verdict == Verdict::kNotRun);
    CHECK_FALSE(fixture.HasLogged("id", "received"));
    fixture.Cancel("first");
    first.get();
  }
}

TEST_CASE("a leaf's reported state is returned unchanged, or not at all") {
  LeafFixture fixture;
  const std::string incarnation = fixture.Send("id").incarnation;

  SUBCASE("a valid status") {
    const auto status = fixture.FetchStatus();
    REQUIRE(status);
    CHECK(status->versions == std::vector<IndexVersion>{{7, "a"}});
    CHECK(status->incarnation == incarnation);
  }
  SUBCASE("a malformed status") {
    fixture.Apply(Fault(LeafFaultKind::kLieStatus, 0, "well"));
    CHECK_FALSE(fixture.FetchStatus());
  }
  SUBCASE("a false load") {
    fixture.Apply(Fault(LeafFaultKind::kLieLoad, 0.9));
    CHECK(fixture.FetchStatus()->reported_load == 0.9);
    CHECK(fixture.Send("lie").reported_load == 0.9);
  }
  SUBCASE("another incarnation after a restart") {
    fixture.Apply(Fault(LeafFaultKind::kRestart));
    CHECK(fixture.FetchStatus()->incarnation != incarnation);
  }
  SUBCASE("a part of the shard was searched") {
    fixture.Apply(Fault(LeafFaultKind::kPartial, 0.5));
    CHECK(fixture.Send("part").covered == 0.5);
  }
}

}  // namespace bramleyspoke
