#include "process/crash_reports.h"

#include <doctest/doctest.h>

#include <map>
#include <utility>
#include <vector>

#include "manual_loop.h"
#include "router_fakes.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint kFirst{"127.0.0.1", 1};
const Endpoint kSecond{"127.0.0.1", 2};

// Holds each gossip call until the test answers it.
class HeldPeers final : public FakePeers {
 public:
  struct GossipCall {
    Endpoint peer;
    std::vector<EvidenceNotice> evidence;
    std::function<void(std::optional<GossipMessage>)> done;
  };

  void Gossip(const Endpoint& peer,
              const GossipMessage& message,
              Duration /*timeout*/,
              std::function<void(std::optional<GossipMessage>)> done) override {
    gossips.push_back({peer, message.evidence, std::move(done)});
  }

  std::vector<GossipCall> gossips;
};

class ReportsFixture {
 public:
  ReportsFixture() : reports(loop, clock, peers, MemberUpdate()) {
    reports.SetPeers({kFirst, kSecond});
  }

  void Add(std::uint64_t id) { reports.Add({{7, "service"}, id, clock.Now()}); }

  /// Advances the clock by a resend interval and sends what is due; returns the
  /// calls.
  std::vector<HeldPeers::GossipCall> Send() {
    clock.Advance(CrashReports::kResendInterval);
    loop.RunNextTimer();
    return std::exchange(peers.gossips, {});
  }

  void Answer(const HeldPeers::GossipCall& call, bool is_received) {
    call.done(is_received ? std::optional(GossipMessage()) : std::nullopt);
    loop.RunAll();
  }

  ManualLoop loop;
  ManualClock clock;
  HeldPeers peers;
  CrashReports reports;
};

}  // namespace

TEST_CASE("a crash report is sent again until each peer has received it") {
  ReportsFixture fixture;
  fixture.Add(1);
  auto calls = fixture.Send();
  REQUIRE(calls.size() == 2);
  fixture.Answer(calls[0], true);
  fixture.Answer(calls[1], false);
  for (int resend = 0; resend < 3; ++resend) {
    auto again = fixture.Send();
    REQUIRE(again.size() == 1);
    CHECK(again.front().peer == calls[1].peer);
    fixture.Answer(again.front(), resend == 2);
  }
  CHECK(fixture.Send().empty());
  CHECK_FALSE(fixture.loop.RunNextTimer());
}

TEST_CASE("crash reports are collected in one call") {
  ReportsFixture fixture;
  fixture.Add(1);
  fixture.Add(2);
  fixture.Add(2);
  const auto calls = fixture.Send();
  REQUIRE(calls.size() == 2);
  CHECK(calls.front().evidence.size() == 2);
}

// A request to all shards crashed a leaf each few milliseconds, and the peers
// heard of the first crash only after the last one.
TEST_CASE("further crashes do not postpone the report of a crash") {
  ReportsFixture fixture;
  constexpr milliseconds kInterval{10};
  const TimePoint first_crash = fixture.clock.Now();
  std::optional<TimePoint> first_report;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    fixture.Add(id);
    fixture.clock.Advance(kInterval);
    fixture.loop.RunTimersUntil(fixture.clock.Now());
    if (!first_report && !fixture.peers.gossips.empty()) {
      first_report = fixture.clock.Now();
    }
  }
  REQUIRE(first_report.has_value());
  CHECK(*first_report - first_crash <= CrashReports::kBatchDelay);
}

TEST_CASE("crashes in quick succession are reported in few calls") {
  ReportsFixture fixture;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    fixture.Add(id);
    fixture.clock.Advance(milliseconds(1));
    fixture.loop.RunTimersUntil(fixture.clock.Now());
  }
  const auto calls_to_each = fixture.peers.gossips.size() / 2;
  CHECK(calls_to_each <= milliseconds(100) / CrashReports::kBatchDelay + 1);
}

TEST_CASE("that a crash is taken back is reported after the crash") {
  ReportsFixture fixture;
  LeafCrash crash{{7, "service"}, 1, fixture.clock.Now()};
  fixture.reports.Add(crash);
  for (const auto& call : fixture.Send()) {
    fixture.Answer(call, true);
  }
  crash.is_taken_back = true;
  fixture.reports.Add(crash);
  const auto calls = fixture.Send();
  REQUIRE(calls.size() == 2);
  REQUIRE(calls.front().evidence.size() == 1);
  CHECK(ReadEvidenceNotice(calls.front().evidence.front(), fixture.clock.Now())
            .is_taken_back);
}

TEST_CASE("a crash report has the age of the crash when it is sent again") {
  ReportsFixture fixture;
  const TimePoint at = fixture.clock.Now();
  fixture.Add(1);
  fixture.Send();
  fixture.clock.Advance(seconds(5));
  const auto calls = fixture.Send();
  REQUIRE(calls.size() == 2);
  const LeafCrash crash =
      ReadEvidenceNotice(calls.front().evidence.front(), fixture.clock.Now());
  CHECK(crash.at == at);
  CHECK(crash.part == RequestPart{7, "service"});
  CHECK(crash.id == 1);
}

TEST_CASE("daemons that become holders later get earlier crash reports") {
  ReportsFixture fixture;
  fixture.Add(1);
  for (const auto& call : fixture.Send()) {
    fixture.Answer(call, true);
  }
  CHECK(fixture.Send().empty());
  const Endpoint third{"127.0.0.1", 3};
  fixture.reports.SetPeers({kFirst, kSecond, third});
  const auto calls = fixture.Send();
  REQUIRE(calls.size() == 1);
  CHECK(calls.front().peer == third);
}

}  // namespace bramleyspoke
