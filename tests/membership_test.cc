#include "process/membership.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>

#include "member_fleet.h"
#include "process/watcher_choice.h"

namespace bramleyspoke {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

MembershipOptions Options() {
  MembershipOptions options;
  options.dead_retention = seconds(60);
  return options;
}

std::set<Endpoint> LiveOf(const Membership& node) {
  std::set<Endpoint> live;
  for (const DaemonAddress& member : node.LiveDaemons()) {
    live.insert(member.peer);
  }
  return live;
}

/// Number of nodes whose list of live members differs from the running nodes.
int CountOutOfDate(const MemberFleet& fleet) {
  return static_cast<int>(std::count_if(
      fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& entry) {
        return LiveOf(*entry.second) != fleet.Running();
      }));
}

}  // namespace

TEST_CASE("members discover each other and remove dead members") {
  const bool is_satisfied = rc::check("lists match the running members", [] {
    const int size = *rc::gen::inRange(2, 14);
    MemberFleet fleet(size, Options(), *rc::gen::arbitrary<std::uint64_t>());
    fleet.loss_percent = *rc::gen::inRange(0, 20);
    fleet.Run(seconds(30));
    for (int fault = 0; fault < 4; ++fault) {
      const int number = *rc::gen::inRange(0, size);
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          fleet.Kill(number);
          break;
        case 1:
          fleet.Pause(number);
          fleet.Run(seconds(*rc::gen::inRange(1, 90)));
          fleet.Resume(number);
          break;
        default:
          fleet.Start(number, 2 + static_cast<std::uint64_t>(fault));
          break;
      }
      fleet.Run(seconds(*rc::gen::inRange(0, 20)));
    }
    fleet.loss_percent = 0;
    fleet.Run(seconds(180));
    RC_ASSERT(CountOutOfDate(fleet) == 0);
    for (const auto& [peer, node] : fleet.nodes) {
      RC_ASSERT(node->Table().Size() == fleet.nodes.size());
    }
  });
  CHECK(is_satisfied);
}

TEST_CASE("a member stops being live when it announces that it is leaving") {
  MemberFleet fleet(9, Options(), 1);
  fleet.Run(seconds(20));
  REQUIRE(CountOutOfDate(fleet) == 0);
  fleet.Node(4).BeginLeaving(fleet.now);
  const Endpoint leaving = MemberFleet::AddressOf(4, 0).peer;
  fleet.Run(seconds(6));
  for (const auto& [peer, node] : fleet.nodes) {
    CHECK_FALSE(LiveOf(*node).contains(leaving));
    CHECK(node->Table().Find(leaving)->state == MemberState::kLeaving);
  }
}

TEST_CASE("a member that was paused suspects no other member") {
  MemberFleet fleet(9, Options(), 2);
  fleet.Run(seconds(20));
  const Membership& paused = fleet.Node(3);
  for (int pause = 0; pause < 10; ++pause) {
    // Starts the pauses at different points of an exchange.
    fleet.Run(std::chrono::milliseconds(5100));
    fleet.Pause(3);
    fleet.Run(seconds(60));
    fleet.Resume(3);
    for (int i = 0; i < 50; ++i) {
      fleet.Run(std::chrono::milliseconds(100));
      for (const MemberUpdate& member : paused.Table().All()) {
        CHECK(member.state == MemberState::kAlive);
      }
    }
  }
  CHECK(CountOutOfDate(fleet) == 0);
}

TEST_CASE("a broken link between two members makes neither a suspect") {
  MemberFleet fleet(9, Options(), 6);
  const Endpoint one = MemberFleet::AddressOf(3, 0).peer;
  const Endpoint other = MemberFleet::AddressOf(4, 0).peer;
  fleet.is_linked = [&](const Endpoint& a, const Endpoint& b) {
    return !(a == one && b == other) && !(a == other && b == one);
  };
  for (int i = 0; i < 600; ++i) {
    fleet.Run(std::chrono::milliseconds(100));
    for (const MemberUpdate& member : fleet.Node(0).Table().All()) {
      CHECK(member.state == MemberState::kAlive);
    }
  }
}

TEST_CASE("members find each other again after an hour of network partition") {
  MemberFleet fleet(16, Options(), 3);
  fleet.Run(seconds(30));
  fleet.is_linked = [](const Endpoint& a, const Endpoint& b) {
    return a.host.back() % 2 == b.host.back() % 2;
  };
  fleet.Run(minutes(60));
  CHECK(CountOutOfDate(fleet) == 16);
  CHECK(LiveOf(fleet.Node(0)).size() == 8);
  fleet.is_linked = [](const Endpoint&, const Endpoint&) { return true; };
  fleet.Run(seconds(60));
  CHECK(CountOutOfDate(fleet) == 0);
}

TEST_CASE("digests find a member that no update announced") {
  MembershipOptions options = Options();
  options.max_updates = 0;  // The probes carry no updates.
  MemberFleet fleet(11, options, 4);
  const Endpoint late = MemberFleet::AddressOf(11, 0).peer;
  const Endpoint seed = MemberFleet::AddressOf(0, 0).peer;
  fleet.is_linked = [&](const Endpoint& a, const Endpoint& b) {
    return (a != late || b == seed) && (b != late || a == seed);
  };
  fleet.Run(seconds(30));
  fleet.Start(11, 1);
  fleet.Run(seconds(60));
  for (const auto& [peer, node] : fleet.nodes) {
    CHECK(node->Table().Find(late) != nullptr);
  }
}

TEST_CASE("the number of updates in a message is limited") {
  MembershipOptions options = Options();
  options.max_updates = 5;
  MemberFleet fleet(40, options, 5);
  fleet.Run(seconds(30));
  for (int i = 10; i < 40; ++i) {
    fleet.Kill(i);
  }
  fleet.Run(seconds(120));
  CHECK(CountOutOfDate(fleet) == 0);
  // One more for the sender's view of the receiver.
  CHECK(fleet.max_updates_seen <= 6);
}

TEST_CASE("few of many members watch the store, at least one per region") {
  std::vector<DaemonAddress> live;
  for (int i = 0; i < 200; ++i) {
    live.push_back(MemberFleet::AddressOf(i, 1));
    live.back().region = std::string(1, static_cast<char>('a' + i % 4));
  }
  std::set<std::string> regions;
  int watchers = 0;
  for (const DaemonAddress& member : live) {
    if (IsWatcher(member, live)) {
      ++watchers;
      regions.insert(member.region);
    }
  }
  CHECK(regions.size() == 4);
  CHECK(watchers <= 7);
}

}  // namespace bramleyspoke
