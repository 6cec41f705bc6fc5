#include "process/relay_log.h"

#include <doctest/doctest.h>

#include <string>

#include "process/log_sampler.h"
#include "relay_fixture.h"

namespace bramleyspoke {
namespace {

const TimePoint kNow{std::chrono::hours(1)};

std::string RequestId(int number) {
  return "request-" + std::to_string(number);
}

// Offers `lines` lines in one second and returns the number written.
int CountWritten(LogSampler& sampler,
                 int lines,
                 LogPriority priority,
                 TimePoint now) {
  int written = 0;
  for (int i = 0; i < lines; ++i) {
    written += sampler.Admit(RequestId(i), priority, now) ? 1 : 0;
  }
  return written;
}

}  // namespace

TEST_CASE(
    "log lines are limited per second, and suppressed lines are counted") {
  LogSampler sampler(40);
  CHECK(CountWritten(sampler, 40, LogPriority::kOther, kNow) == 40);
  const int flood = CountWritten(sampler, 1000, LogPriority::kOther,
                                 kNow + std::chrono::seconds(1));
  CHECK(flood >= 40);
  CHECK(flood <= 80);
  CHECK(sampler.TakeSuppressedCount() == 1000 - std::uint64_t(flood));
  CHECK(sampler.TakeSuppressedCount() == 0);
  for (int second = 2; second < 10; ++second) {
    CHECK(CountWritten(sampler, 1000, LogPriority::kOther,
                       kNow + std::chrono::seconds(second)) <= 80);
  }
}

TEST_CASE("two daemons sample the same requests") {
  LogSampler here(40);
  LogSampler there(40);
  for (LogSampler* sampler : {&here, &there}) {
    CountWritten(*sampler, 1000, LogPriority::kOther, kNow);
  }
  const TimePoint later = kNow + std::chrono::seconds(1);
  for (int i = 0; i < 100; ++i) {
    const bool is_kept = here.Admit(RequestId(i), LogPriority::kOther, later);
    CHECK(there.Admit(RequestId(i), LogPriority::kOther, later) == is_kept);
  }
}

TEST_CASE("failures take precedence over other lines") {
  LogSampler sampler(40);
  CountWritten(sampler, 40, LogPriority::kFailure, kNow);
  CHECK(CountWritten(sampler, 1000, LogPriority::kOther, kNow) <= 8);
  LogSampler other(40);
  CountWritten(other, 1000, LogPriority::kOther, kNow);
  CHECK(CountWritten(other, 40, LogPriority::kFailure, kNow) == 40);
}

TEST_CASE(
    "the log describes the parts of a request that did not end normally") {
  RelayFixture relay;
  for (const char* shard : {"s0", "s1", "s2", "s3"}) {
    relay.AddLeaf(shard, shard + std::string("-leaf"));
  }
  relay.AddLeaf("s0", "s0-other");
  const RelayNumber number = relay.Submit(4);
  const std::string first = relay.IsSentTo("s0-leaf") ? "s0-leaf" : "s0-other";
  const std::string second = first == "s0-leaf" ? "s0-other" : "s0-leaf";
  relay.Reply(first, LeafReplyKind::kLost);
  relay.Reply(second, LeafReplyKind::kSucceeded);
  relay.Reply("s1-leaf", LeafReplyKind::kSucceeded);
  relay.Reply("s2-leaf", LeafReplyKind::kSucceeded);
  relay.Advance(milliseconds(200));
  const RelayOutcome& outcome = relay.Outcome(number);
  CHECK(outcome.wait_end == WaitEnd::kAnswerDue);
  REQUIRE(outcome.reportable_parts == 2);
  const std::string text = DescribePartReports(outcome.part_reports);
  CHECK(text.find("s0 answered by " + second + " after " + first + " " +
                  second) == 0);
  CHECK(text.find("s3 open after s3-leaf (runs 1 of 2, hedges 0") !=
        std::string::npos);
}

}  // namespace bramleyspoke
