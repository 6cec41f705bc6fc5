#include "version/holder_sets.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

#include "fake_store.h"

namespace bramleyspoke {
namespace {

DaemonAddress MakeMember(int number, int failure_domains) {
  const std::string region(1, static_cast<char>('a' + number % 3));
  const std::string domain = region + std::to_string(number % failure_domains);
  const std::string host = "127.0.1." + std::to_string(number + 1);
  return {{host, 8080}, {host, 9000}, 1, domain, region};
}

SpecMap MakeServices(int count) {
  SpecMap services;
  for (int i = 0; i < count; ++i) {
    ServiceSpec spec = MakeService("s" + std::to_string(i));
    spec.holders = static_cast<std::uint32_t>(1 + i % 4);
    services[spec.name] = std::make_shared<const ServiceSpec>(spec);
  }
  return services;
}

}  // namespace

TEST_CASE("the holder set size is limited by the connections of the leafs") {
  struct Row {
    std::uint32_t slots, connections, holders;
    std::size_t expected;
  };
  const std::vector<Row> rows = {
      {2, 25, 2, 2},   // as in the manifest
      {2, 25, 99, 7},  // 8 times 3 connections fit; one holder's 3 stay free
      {6, 110, 99, 14}, {3, 40, 99, 9}, {2, 3, 4, 1}, {2, 25, 0, 1},
  };
  for (const Row& row : rows) {
    ServiceSpec spec;
    spec.slots = row.slots;
    spec.connections = row.connections;
    spec.holders = row.holders;
    CAPTURE(row.holders);
    CHECK(HolderSetSize(spec) == row.expected);
  }
}

TEST_CASE(
    "holders are in the leafs' regions and span at least two failure domains") {
  // With 3, only one of the leafs' failure domains has members.
  int failure_domains = 30;
  SUBCASE("many failure domains") {}
  SUBCASE("few failure domains") {
    failure_domains = 3;
  }
  HolderSets sets;
  const SpecMap services = MakeServices(40);
  sets.SetServices(services);
  for (int i = 0; i < 30; ++i) {
    sets.AddMember(MakeMember(i, failure_domains));
  }
  for (const auto& [name, spec] : services) {
    const auto& holders = sets.HoldersOf(name);
    REQUIRE(holders.size() == HolderSetSize(*spec));
    std::set<std::string> domains;
    for (const DaemonAddress& holder : holders) {
      domains.insert(holder.failure_domain);
      // The leafs are in regions a and b.
      CHECK(holder.region != "c");
    }
    CHECK((holders.size() < 2 || domains.size() >= 2));
  }
}

TEST_CASE("incrementally updated sets equal sets computed from scratch") {
  const bool is_satisfied =
      rc::check("incremental equals computed from scratch", [] {
        const SpecMap services = MakeServices(12);
        HolderSets incremental;
        incremental.SetServices(services);
        std::set<int> members;
        const int failure_domains = *rc::gen::inRange(1, 6);
        const auto steps =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 16));
        for (const int number : steps) {
          const DaemonAddress member = MakeMember(number, failure_domains);
          if (members.erase(number) > 0) {
            incremental.RemoveMember(member.peer);
          } else {
            members.insert(number);
            incremental.AddMember(member);
          }
        }
        HolderSets recomputed;
        for (const int number : members) {
          recomputed.AddMember(MakeMember(number, failure_domains));
        }
        recomputed.SetServices(services);
        for (const auto& [name, spec] : services) {
          RC_ASSERT(incremental.HoldersOf(name) == recomputed.HoldersOf(name));
        }
      });
  CHECK(is_satisfied);
}

TEST_CASE("removing a member changes exactly the sets that contain it") {
  HolderSets sets;
  const SpecMap services = MakeServices(60);
  sets.SetServices(services);
  for (int i = 0; i < 30; ++i) {
    sets.AddMember(MakeMember(i, 9));
  }
  std::set<std::string> expected;
  const Endpoint removed = sets.HoldersOf("s3").front().peer;
  for (const auto& [name, spec] : services) {
    for (const DaemonAddress& holder : sets.HoldersOf(name)) {
      if (holder.peer == removed) {
        expected.insert(name);
      }
    }
  }
  REQUIRE_FALSE(expected.empty());
  sets.TakeChanged();
  sets.RemoveMember(removed);
  CHECK(sets.TakeChanged() == expected);
}

}  // namespace bramleyspoke
