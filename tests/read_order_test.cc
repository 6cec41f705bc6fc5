#include "process/read_order.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "process/holder_choice.h"

namespace bramleyspoke {
namespace {

// A region of large and small VMs.
std::vector<DaemonEntry> MakeRegion(const std::string& name, int count) {
  constexpr int kEachLarge = 16;
  std::vector<DaemonEntry> daemons;
  for (int i = 0; i < count; ++i) {
    DaemonEntry daemon;
    daemon.address = {name + std::to_string(i), 1};
    daemon.peer = {name + std::to_string(i), 2};
    daemon.region = name;
    daemon.processor = i % kEachLarge == 0 ? 500 : 120;
    daemons.push_back(daemon);
  }
  return daemons;
}

}  // namespace

// After a loss of power, 295 daemons read 1,400 entries at once, which the
// store's link takes two seconds to send.
TEST_CASE("the daemons that become holders read first") {
  constexpr std::size_t kHolders = 35;
  const auto region = MakeRegion("a", 98);
  const auto holders = ChooseHolders(region, kHolders);
  REQUIRE(holders.size() < region.size() / 2);
  std::set<Endpoint> early;
  Duration last_holder{0};
  for (const DaemonEntry& holder : holders) {
    early.insert(holder.peer);
    last_holder = std::max(last_holder, ChooseReadDelay(holder, region));
  }
  std::set<Duration> delays;
  for (const DaemonEntry& daemon : region) {
    const Duration delay = ChooseReadDelay(daemon, region);
    delays.insert(delay);
    CHECK(delay <= Duration(kMaxReadDelay));
    if (!early.contains(daemon.peer)) {
      CHECK(delay > last_holder);
    }
  }
  CHECK(*delays.begin() == Duration::zero());
  CHECK(delays.size() == region.size());
}

TEST_CASE("daemons of other regions do not delay a read") {
  auto daemons = MakeRegion("a", 8);
  const auto others = MakeRegion("b", 90);
  daemons.insert(daemons.end(), others.begin(), others.end());
  for (int i = 0; i < 8; ++i) {
    CHECK(ChooseReadDelay(daemons[static_cast<std::size_t>(i)], daemons) <=
          7 * Duration(kReadInterval));
  }
}

}  // namespace bramleyspoke
