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
      : registration(loop, store, "key", "value", [this] {
          ++unanswered_calls;
        }) {
    registration.Start();
    store.AnswerGrant(1);
    store.AnswerPut(KeyValueStatus::kOk);
  }

  ManualLoop loop;
  HeldStore store;
  int unanswered_calls = 0;
  DaemonRegistration registration;
};

}  // namespace

TEST_CASE("a registration moves to a new lease when the time to live changes") {
  RegistrationFixture fixture;
  fixture.registration.SetTimings(kStandbyTimings);
  CHECK(fixture.store.grants.empty());

  fixture.registration.SetTimings(kHolderTimings);
  REQUIRE(fixture.store.grants.size() == 1);
  CHECK(fixture.store.grants.front().time_to_live ==
        kHolderTimings.time_to_live);
  SUBCASE("the old lease is revoked once the key is under the new one") {
    fixture.store.AnswerGrant(2);
    CHECK(fixture.store.revoked.empty());
    fixture.store.AnswerPut(KeyValueStatus::kOk);
    CHECK(fixture.store.revoked == std::vector<LeaseId>{1});
    fixture.loop.RunNextTimer();
    CHECK(fixture.store.renews.size() == 1);
  }
  SUBCASE("a stop before the move is complete revokes both leases") {
    fixture.registration.Unregister();
    CHECK(fixture.store.revoked.size() == 2);
  }
}

TEST_CASE("in a new era of the store the old lease is not used again") {
  RegistrationFixture fixture;
  SUBCASE("when it was idle") {
    fixture.registration.OnNewEra();
  }
  SUBCASE("while a renewal was outstanding") {
    fixture.loop.RunNextTimer();
    REQUIRE(fixture.store.renews.size() == 1);
    fixture.registration.OnNewEra();
    fixture.store.AnswerRenew(KeyValueStatus::kNotFound);
  }
  SUBCASE("while it moved to another lease") {
    fixture.registration.SetTimings(kHolderTimings);
    fixture.registration.OnNewEra();
    fixture.store.AnswerGrant(1);
  }
  CHECK(fixture.store.grants.empty());
  CHECK(fixture.store.puts.empty());
  fixture.loop.RunNextTimer();
  fixture.store.AnswerGrant(5);
  fixture.store.AnswerPut(KeyValueStatus::kOk);
  CHECK(fixture.store.revoked.empty());
  CHECK(fixture.store.renews.empty());
}

TEST_CASE("a stop in a new era of the store ends no lease of the old one") {
  RegistrationFixture fixture;
  fixture.registration.OnNewEra();
  fixture.registration.Unregister();
  CHECK(fixture.store.revoked.empty());
}

TEST_CASE("an answer to a renewal of the previous lease is ignored") {
  RegistrationFixture fixture;
  fixture.loop.RunNextTimer();
  REQUIRE(fixture.store.renews.size() == 1);
  fixture.registration.SetTimings(kHolderTimings);
  fixture.store.AnswerRenew(KeyValueStatus::kNotFound);
  CHECK(fixture.store.grants.size() == 1);
  CHECK_FALSE(fixture.loop.RunNextTimer());
}

TEST_CASE("a key that is missing in the store is written again") {
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

TEST_CASE("a value that changes is written, also while a call is outstanding") {
  RegistrationFixture fixture;
  SUBCASE("when idle") {
    fixture.registration.SetValue("other");
  }
  SUBCASE("while a put is outstanding") {
    fixture.registration.Restore();
    REQUIRE(fixture.store.puts.size() == 1);
    fixture.registration.SetValue("other");
    CHECK(fixture.store.puts.size() == 1);
    fixture.store.AnswerPut(KeyValueStatus::kOk);
  }
  SUBCASE("twice, of which the first is outstanding") {
    fixture.registration.SetValue("first");
    fixture.registration.SetValue("other");
    fixture.store.AnswerPut(KeyValueStatus::kOk);
  }
  REQUIRE(fixture.store.puts.size() == 1);
  CHECK(fixture.store.last_put_value == "other");
  fixture.store.AnswerPut(KeyValueStatus::kOk);
  CHECK(fixture.store.puts.empty());
  fixture.registration.SetValue("other");
  CHECK(fixture.store.puts.empty());
}

TEST_CASE("a renewal without an answer is reported") {
  RegistrationFixture fixture;
  fixture.loop.RunNextTimer();
  fixture.store.AnswerRenew(KeyValueStatus::kUnknown);
  CHECK(fixture.unanswered_calls == 1);
  fixture.loop.RunNextTimer();
  fixture.store.AnswerRenew(KeyValueStatus::kRefused);
  CHECK(fixture.unanswered_calls == 1);
}

}  // namespace bramleyspoke
