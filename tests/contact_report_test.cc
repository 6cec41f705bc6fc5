#include "process/contact_report.h"

#include <doctest/doctest.h>

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ReportFixture {
  void Lose() { report.OnChange(ContactState::kCutOff, now); }
  void Return() { report.OnChange(ContactState::kInContact, now); }
  bool IsCutOff() const { return report.IsCutOff(now); }

  ContactReport report;
  TimePoint now{std::chrono::hours(1)};
};

}  // namespace

TEST_CASE("a loss of contact and the first return are told at once") {
  ReportFixture fixture;
  fixture.report.OnChange(ContactState::kDoubtful, fixture.now);
  CHECK_FALSE(fixture.IsCutOff());
  fixture.Lose();
  CHECK(fixture.IsCutOff());
  CHECK_FALSE(fixture.report.NextChange(fixture.now).has_value());
  fixture.now += seconds(12);
  fixture.Return();
  CHECK_FALSE(fixture.IsCutOff());
}

TEST_CASE("a contact that comes and goes is told of as lost") {
  ReportFixture fixture;
  int told_returns = 0;
  for (int turn = 0; turn < 60; ++turn) {
    fixture.Lose();
    fixture.now += milliseconds(500);
    fixture.Return();
    told_returns += fixture.IsCutOff() ? 0 : 1;
    fixture.now += milliseconds(500);
  }
  CHECK(told_returns == 1);
  SUBCASE("until it has lasted") {
    const auto next = fixture.report.NextChange(fixture.now);
    REQUIRE(next.has_value());
    CHECK(*next <= fixture.now + ContactReport::kMaxHold);
    fixture.now = *next;
    CHECK_FALSE(fixture.IsCutOff());
  }
}

TEST_CASE("a return long after the last one is told at once again") {
  ReportFixture fixture;
  for (int turn = 0; turn < 3; ++turn) {
    fixture.Lose();
    fixture.now += seconds(1);
    fixture.Return();
    fixture.now += seconds(1);
  }
  REQUIRE(fixture.IsCutOff());
  fixture.now += seconds(30);
  fixture.Lose();
  fixture.Return();
  CHECK_FALSE(fixture.IsCutOff());
}

}  // namespace bramleyspoke
