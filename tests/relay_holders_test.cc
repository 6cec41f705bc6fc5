#include "process/relay_holders.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace bramleyspoke {
namespace {

constexpr std::size_t kHolderCount = 10;

DaemonEntry Daemon(std::uint16_t number, const std::string& region) {
  DaemonEntry entry;
  entry.address = {"127.0.0.1", number};
  entry.peer = {"127.0.0.2", number};
  entry.failure_domain = region + "-1";
  entry.region = region;
  return entry;
}

bool HasAddress(const std::vector<Endpoint>& addresses,
                const DaemonEntry& daemon) {
  return std::find(addresses.begin(), addresses.end(), daemon.address) !=
         addresses.end();
}

}  // namespace

TEST_CASE("a daemon sees the other holders as peers and counts itself") {
  const DaemonEntry self = Daemon(1, "r1");
  RelayHolders holders(self);
  SUBCASE("also while its own entry is missing") {
    holders.SetDaemons({Daemon(2, "r1"), Daemon(3, "r2")});
  }
  SUBCASE("once it is registered") {
    holders.SetDaemons({self, Daemon(2, "r1"), Daemon(3, "r2")});
  }
  const RelayHolders::Fleet fleet = holders.Update(kHolderCount);
  CHECK(fleet.by_region.at("r1") == 2);
  CHECK(fleet.by_region.at("r2") == 1);
  CHECK(fleet.peers.size() == 2);
  CHECK_FALSE(fleet.PeerAddresses().contains(self.peer));
}

TEST_CASE("a daemon that has heard of no daemon does not know how many share") {
  const DaemonEntry self = Daemon(1, "r1");
  RelayHolders holders(self);
  CHECK_FALSE(holders.Update(kHolderCount).is_known);
  holders.SetDaemons({self});
  CHECK(holders.Update(kHolderCount).is_known);
}

TEST_CASE("callers get the addresses of daemons that can serve them") {
  const DaemonEntry self = Daemon(1, "r1");
  const DaemonEntry other = Daemon(2, "r1");
  RelayHolders holders(self);
  RelayHolders::OwnState own;
  own.is_ready = true;
  const auto addresses = [&] {
    return holders.AddressesFor("r1", kHolderCount, {"r1"}, own);
  };
  SUBCASE("all of them") {
    holders.SetDaemons({self, other});
    CHECK(HasAddress(addresses(), self));
    CHECK(HasAddress(addresses(), other));
  }
  SUBCASE("not the own one during a planned stop") {
    holders.SetDaemons({self, other});
    own.is_stopping = true;
    CHECK_FALSE(HasAddress(addresses(), self));
    CHECK(HasAddress(addresses(), other));
  }
  SUBCASE("the own one during a planned stop if there is no other") {
    holders.SetDaemons({self});
    own.is_stopping = true;
    CHECK(HasAddress(addresses(), self));
    own.accepts_requests = false;
    own.is_ready = false;
    CHECK(addresses().empty());
  }
  SUBCASE("not the own one while it is cut off from the leafs") {
    holders.SetDaemons({self, other});
    own.is_cut_off = true;
    CHECK_FALSE(HasAddress(addresses(), self));
  }
  SUBCASE("the own one if no daemon is registered and it is ready") {
    CHECK(HasAddress(addresses(), self));
    own.is_ready = false;
    CHECK(addresses().empty());
  }
}

}  // namespace bramleyspoke
