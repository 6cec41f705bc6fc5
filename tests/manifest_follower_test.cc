#include "process/manifest_follower.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "follower_fleet.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Limit on the time from publication until all daemons have the manifest in
// force.
constexpr Duration kPropagationLimit = seconds(14);

}  // namespace

TEST_CASE("the generation never decreases and reaches all daemons in time") {
  const bool is_satisfied = rc::check("spread under loss and restarts", [] {
    const int size = *rc::gen::inRange(2, 40);
    FollowerFleet fleet(size, *rc::gen::arbitrary<std::uint64_t>());
    fleet.loss_percent = *rc::gen::inRange(0, 20);
    for (int step = 0; step < 6; ++step) {
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          fleet.Restart(*rc::gen::inRange(1, size));
          break;
        case 1:
          fleet.is_store_up = !fleet.is_store_up;
          break;
        default:
          fleet.Publish();
          break;
      }
      fleet.Run(milliseconds(*rc::gen::inRange(0, 3000)));
    }
    fleet.is_store_up = true;
    fleet.Run(seconds(10));
    fleet.Publish();
    fleet.Run(kPropagationLimit);
    RC_ASSERT_FALSE(fleet.has_reverted);
    RC_ASSERT(fleet.CountAt(fleet.head.generation) == size);
  });
  CHECK(is_satisfied);
}

TEST_CASE("the number of store calls does not grow with the fleet") {
  FollowerFleet fleet(60, 1);
  fleet.Run(seconds(5));
  fleet.Publish();
  fleet.Run(seconds(10));
  fleet.store_calls = 0;
  fleet.Publish();
  fleet.Run(seconds(60));
  CHECK(fleet.CountAt(2) == 60);
  // The one watcher reads the head every 5 s, and three parts have changed.
  CHECK(fleet.store_calls <= 17);
}

TEST_CASE("an invalid manifest changes nothing") {
  for (const std::string invalid_root :
       {"rubbish", "{\"groups\":[1],\"limits\":2}"}) {
    CAPTURE(invalid_root);
    FollowerFleet fleet(8, 2);
    fleet.Publish();
    fleet.Run(seconds(10));
    fleet.Publish(invalid_root);
    fleet.Run(seconds(90));
    CHECK(fleet.CountAt(1) == 8);
    CHECK_FALSE(fleet.nodes[0]->Problem().empty());
    // The last valid manifest stays in force and confirmed.
    CHECK(fleet.nodes[5]->IsConfirmed(fleet.now));
    fleet.Publish();
    fleet.Run(kPropagationLimit);
    CHECK(fleet.CountAt(3) == 8);
  }
}

TEST_CASE("a daemon starting in a store outage gets the manifest from peers") {
  FollowerFleet fleet(8, 3);
  fleet.Publish();
  fleet.Run(seconds(10));
  fleet.is_store_up = false;
  fleet.Restart(5);
  CHECK(fleet.nodes[5]->IsRefreshing());
  fleet.Run(seconds(10));
  CHECK(fleet.CountAt(1) == 8);
  CHECK_FALSE(fleet.nodes[5]->IsRefreshing());
}

TEST_CASE("a manifest is fresh only while the store or peers confirm it") {
  FollowerFleet fleet(8, 4);
  fleet.Publish();
  fleet.Run(seconds(30));
  for (const auto& [number, node] : fleet.nodes) {
    CHECK(node->IsConfirmed(fleet.now));
  }
  SUBCASE("the manifest is unconfirmed after a long store outage") {
    fleet.is_store_up = false;
    fleet.Run(seconds(70));
    for (const auto& [number, node] : fleet.nodes) {
      CHECK_FALSE(node->IsConfirmed(fleet.now));
    }
  }
  SUBCASE("after a pause only answers to later requests count") {
    ManifestFollower& node = *fleet.nodes[3];
    const ManifestStatus status = node.Status(fleet.now);
    const TimePoint before = fleet.now;
    fleet.now += seconds(60);
    CHECK(node.OnPause(fleet.now).read_head);
    CHECK(node.IsRefreshing());
    for (int peer = 4; peer < 8; ++peer) {
      node.OnPeerStatus(PeerOf(peer), status, before, fleet.now);
      node.OnPeerStatus(PeerOf(peer), status, {}, fleet.now);
    }
    CHECK(node.IsRefreshing());
    for (int peer = 4; peer < 7; ++peer) {
      node.OnPeerStatus(PeerOf(peer), status, fleet.now, fleet.now);
    }
    CHECK_FALSE(node.IsRefreshing());
  }
}

}  // namespace bramleyspoke
