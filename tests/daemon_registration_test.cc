#include "process/daemon_registration.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "held_store.h"
#include "manual_loop.h"

namespace bramleyspoke {
namespace {

class RegistrationFixture {
 public:
  RegistrationFixture()
      : registration(loop, store, "key", "value", [this] { ++doubts; }) {
    registration.Start();
    store.AnswerGrant(1);
    store.AnswerPut(KeyValueStatus::kOk);
  }

  ManualLoop loop;
  HeldStore store;
  int doubts = 0;
  DaemonRegistration registration;
};

}  // namespace

TEST_CASE("a registration moves to a lease of another length") {
  RegistrationFixture fixture;
  fixture.registration.SetPace(kServingPace);
  CHECK(fixture.store.grants.empty());

  fixture.registration.SetPace(kStandbyPace);
  REQUIRE(fixture.store.grants.size() == 1);
  CHECK(fixture.store.grants.front().time_to_live == kStandbyPace.time_to_live);
  SUBCASE("the old lease ends once the key is under the new one") {
    fixture.store.AnswerGrant(2);
    CHECK(fixture.store.revoked.empty());
    fixture.store.AnswerPut(KeyValueStatus::kOk);
    CHECK(fixture.store.revoked == std::vector<LeaseId>{1});
    fixture.loop.RunNextTimer();
    CHECK(fixture.store.renews.size() == 1);
  }
  SUBCASE("a stop on the way ends the old one, too") {
    fixture.registration.End();
    CHECK(fixture.store.revoked.size() == 2);
  }
}

TEST_CASE("an answer to a renewal of the lease before changes nothing") {
  RegistrationFixture fixture;
  fixture.loop.RunNextTimer();
  REQUIRE(fixture.store.renews.size() == 1);
  fixture.registration.SetPace(kStandbyPace);
  fixture.store.AnswerRenew(KeyValueStatus::kNotFound);
  CHECK(fixture.store.grants.size() == 1);
  CHECK_FALSE(fixture.loop.RunNextTimer());
}

TEST_CASE("a key that the store dropped is written again") {
  RegistrationFixture fixture;
  fixture.registration.Restore();
  REQUIRE(fixture.store.puts.size() == 1);
  fixture.registration.Restore();
  CHECK(fixture.store.puts.size() == 1);
  fixture.store.AnswerPut(KeyValueStatus::kOk);
  CHECK(fixture.loop.RunNextTimer());
  CHECK(fixture.store.renews.size() == 1);
  CHECK_FALSE(fixture.loop.RunNextTimer());
}

TEST_CASE("a call without an answer is told") {
  RegistrationFixture fixture;
  fixture.loop.RunNextTimer();
  fixture.store.AnswerRenew(KeyValueStatus::kUnknown);
  CHECK(fixture.doubts == 1);
  fixture.loop.RunNextTimer();
  fixture.store.AnswerRenew(KeyValueStatus::kRefused);
  CHECK(fixture.doubts == 1);
}

}  // namespace bramleyspoke
