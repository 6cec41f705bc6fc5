#include "request/attempt_quota.h"

#include <doctest/doctest.h>

namespace bramleyspoke {

TEST_CASE("an attempt takes its place before it has ended") {
  AttemptQuota quota(2);
  quota.OnStarted();
  CHECK(quota.Left() == 1);
  quota.OnEnded(true);
  CHECK(quota.Left() == 1);
}

TEST_CASE("an attempt that a leaf did not run gives its place back") {
  AttemptQuota quota(2);
  quota.OnStarted();
  quota.OnEnded(false);
  CHECK(quota.Left() == 2);
  CHECK(quota.RunsHere() == 0);
}

TEST_CASE("a delegation takes all attempts that the peer may make") {
  AttemptQuota quota(3);
  quota.OnStarted();
  quota.OnEnded(true);
  quota.OnDelegated(quota.Left());
  CHECK(quota.Left() == 0);

  SUBCASE("its final report gives back what was not used") {
    quota.OnPeerReport(1, true);
    CHECK(quota.Left() == 1);
    CHECK(quota.ReportedRuns() == 1);
  }
  SUBCASE("a first report gives nothing back") {
    quota.OnPeerReport(1, false);
    CHECK(quota.Left() == 0);
    CHECK(quota.LeftByReports() == 1);
    quota.OnPeerReport(1, true);
    CHECK(quota.Left() == 1);
  }
  SUBCASE("a lost report gives nothing back") {
    quota.OnDelegationLost();
    CHECK(quota.Left() == 0);
    CHECK(quota.LeftByReports() == 2);
  }
  SUBCASE("one that was not sent gives everything back") {
    quota.OnDelegationNotSent();
    CHECK(quota.Left() == 2);
  }
}

TEST_CASE("what several peers ran adds up") {
  AttemptQuota quota(4);
  quota.OnDelegated(1);
  quota.OnPeerReport(1, true);
  quota.OnDelegated(2);
  quota.OnPeerReport(2, true);
  CHECK(quota.ReportedRuns() == 3);
  CHECK(quota.Left() == 1);
}

TEST_CASE("a peer that was left for another one counts as having used all") {
  AttemptQuota quota(4);
  quota.OnDelegated(2);
  quota.OnDelegated(1);
  quota.OnPeerReport(0, true);
  CHECK(quota.Left() == 2);
}

}  // namespace bramleyspoke
