#include "request/leaf_contact.h"

#include <doctest/doctest.h>

#include <vector>

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint kLeafA{"127.0.0.1", 1};
const Endpoint kLeafB{"127.0.0.1", 2};
const Endpoint kLeafC{"127.0.0.1", 3};

/// A contact that had an answer a second ago.
struct WatchedContact {
  WatchedContact() {
    contact.OnAnswered(now);
    now += seconds(1);
  }

  /// Sends an attempt whose answer is overdue after 40 ms.
  void Send(const Endpoint& leaf) {
    attempts.push_back({leaf, now, now + milliseconds(40)});
    contact.OnSent(now);
  }

  /// Advances the time in steps of 10 ms with checks that are due; probes go
  /// to `kLeafC`.
  void Advance(Duration duration) {
    for (const TimePoint end = now + duration; now < end;) {
      now += milliseconds(10);
      if (contact.NextCheck() && *contact.NextCheck() <= now) {
        contact.Check(attempts, !attempts.empty(), now);
      }
      if (contact.TakeProbeRequest()) {
        ++probe_requests;
        contact.OnProbesSent({kLeafC});
      }
    }
  }

  TimePoint now{std::chrono::hours(1)};
  LeafContact contact;
  std::vector<OutstandingAttempt> attempts;
  int probe_requests = 0;
};

}  // namespace

TEST_CASE("a daemon to which no leaf answers is cut off after its probes") {
  WatchedContact fixture;
  fixture.Send(kLeafA);
  fixture.Send(kLeafB);
  fixture.Advance(milliseconds(110));
  CHECK(fixture.contact.State() == ContactState::kDoubtful);
  CHECK(fixture.probe_requests == 1);
  fixture.Advance(milliseconds(200));
  CHECK(fixture.contact.State() == ContactState::kCutOff);
  const auto changes = fixture.contact.TakeChanges();
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].state == ContactState::kDoubtful);
  CHECK(changes[0].failed_leafs == 2);
  CHECK(changes[1].state == ContactState::kCutOff);
  CHECK(changes[1].probes == 1);

  SUBCASE("and probes go on until a leaf accepts one") {
    fixture.Advance(seconds(2));
    CHECK(fixture.probe_requests >= 4);
    CHECK(fixture.contact.State() == ContactState::kCutOff);
    fixture.contact.OnConnected(kLeafC, fixture.now);
    CHECK(fixture.contact.State() == ContactState::kInContact);
  }
  SUBCASE("and an answer on an old connection does not end that") {
    fixture.contact.OnAnswered(fixture.now);
    CHECK(fixture.contact.State() == ContactState::kCutOff);
  }
}

TEST_CASE(
    "one answer or accepted connection shows that a daemon is in contact") {
  WatchedContact fixture;
  fixture.Send(kLeafA);
  fixture.Send(kLeafB);
  fixture.Advance(milliseconds(110));
  REQUIRE(fixture.contact.State() == ContactState::kDoubtful);
  fixture.contact.OnAnswered(fixture.now);
  fixture.Advance(milliseconds(100));
  CHECK(fixture.contact.State() == ContactState::kInContact);
  CHECK(fixture.probe_requests == 1);
}

TEST_CASE("leafs that refuse connections are found out without waiting") {
  WatchedContact fixture;
  fixture.contact.OnConnectFailed(kLeafA, fixture.now);
  CHECK(fixture.contact.IsInContact());
  fixture.contact.OnConnectFailed(kLeafB, fixture.now);
  CHECK(fixture.contact.State() == ContactState::kDoubtful);
  REQUIRE(fixture.contact.TakeProbeRequest());
  fixture.contact.OnProbesSent({kLeafA, kLeafC});
  fixture.contact.OnConnectFailed(kLeafA, fixture.now);
  CHECK(fixture.contact.State() == ContactState::kDoubtful);
  fixture.contact.OnConnectFailed(kLeafC, fixture.now);
  CHECK(fixture.contact.State() == ContactState::kCutOff);
}

TEST_CASE(
    "a daemon whose new connections are refused is cut off though old ones "
    "are answered") {
  WatchedContact fixture;
  fixture.contact.OnAnswered(fixture.now);
  fixture.contact.OnConnectFailed(kLeafA, fixture.now);
  fixture.contact.OnAnswered(fixture.now);
  fixture.contact.OnConnectFailed(kLeafB, fixture.now);
  CHECK(fixture.contact.IsInContact());
  REQUIRE(fixture.contact.TakeProbeRequest());
  fixture.contact.OnProbesSent({kLeafC});
  SUBCASE("once the leafs that answer refuse one too") {
    fixture.contact.OnAnswered(fixture.now);
    fixture.contact.OnConnectFailed(kLeafC, fixture.now);
    CHECK(fixture.contact.State() == ContactState::kCutOff);
  }
  SUBCASE("but not if these connections have no outcome") {
    fixture.contact.OnAnswered(fixture.now);
    fixture.Advance(milliseconds(300));
    CHECK(fixture.contact.IsInContact());
  }
  SUBCASE("nor if one is accepted: the leafs are at fault themselves") {
    fixture.contact.OnConnected(kLeafC, fixture.now);
    CHECK(fixture.contact.IsInContact());
    for (int retry = 0; retry < 10; ++retry) {
      fixture.contact.OnAnswered(fixture.now);
      fixture.contact.OnConnectFailed(kLeafA, fixture.now);
      fixture.contact.OnConnectFailed(kLeafB, fixture.now);
      fixture.Advance(milliseconds(20));
    }
    CHECK(fixture.probe_requests == 0);
  }
}

TEST_CASE("leafs that fail while others answer cast no doubt on the daemon") {
  WatchedContact fixture;
  SUBCASE("one alone") {
    fixture.Send(kLeafA);
    fixture.Advance(seconds(2));
  }
  SUBCASE("two, with answers in between") {
    fixture.Send(kLeafA);
    fixture.Send(kLeafB);
    for (int answer = 0; answer < 20; ++answer) {
      fixture.contact.OnAnswered(fixture.now);
      fixture.Advance(milliseconds(40));
    }
  }
  SUBCASE("two that break connections right after an answer") {
    fixture.contact.OnAnswered(fixture.now);
    fixture.contact.OnFailed(kLeafA, fixture.now);
    fixture.contact.OnFailed(kLeafB, fixture.now);
    fixture.Advance(milliseconds(30));
    fixture.contact.OnAnswered(fixture.now);
    fixture.Advance(milliseconds(100));
  }
  CHECK(fixture.contact.IsInContact());
  CHECK(fixture.probe_requests == 0);
}

TEST_CASE(
    "attempts sent before the last answer count once they are silent for "
    "long") {
  WatchedContact fixture;
  fixture.Send(kLeafA);
  fixture.Send(kLeafB);
  fixture.Advance(milliseconds(10));
  fixture.contact.OnAnswered(fixture.now);
  fixture.Advance(milliseconds(450));
  CHECK(fixture.contact.IsInContact());
  fixture.Advance(milliseconds(150));
  CHECK(fixture.contact.State() == ContactState::kDoubtful);
}

// Answers may have arrived meanwhile and wait to be read.
TEST_CASE("a daemon that was paused does not take its own pause for silence") {
  WatchedContact fixture;
  fixture.Send(kLeafA);
  fixture.Send(kLeafB);
  SUBCASE("before any doubt") {
    fixture.now += seconds(3);
    fixture.Advance(milliseconds(10));
    CHECK(fixture.contact.IsInContact());
  }
  SUBCASE("while it probes") {
    fixture.Advance(milliseconds(110));
    REQUIRE(fixture.contact.State() == ContactState::kDoubtful);
    fixture.now += seconds(3);
    fixture.Advance(milliseconds(10));
    CHECK(fixture.contact.State() == ContactState::kDoubtful);
  }
}

}  // namespace bramleyspoke
