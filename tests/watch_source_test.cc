#include "process/watch_source.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bramleyspoke {
namespace {

std::vector<DaemonEntry> MakeDomain(const std::string& name, int count) {
  std::vector<DaemonEntry> daemons;
  for (int i = 0; i < count; ++i) {
    const std::string ip =
        "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
    daemons.push_back({{name + ip, 1}, {name + ip, 2}, name, "region"});
  }
  return daemons;
}

/// The source of each daemon that has one.
std::map<Endpoint, Endpoint> SourcesOf(
    const std::vector<DaemonEntry>& daemons,
    const std::vector<DaemonEntry>& holders) {
  std::map<Endpoint, Endpoint> sources;
  for (const DaemonEntry& daemon : daemons) {
    if (const auto source = ChooseWatchSource(daemon.peer, daemons, holders)) {
      sources[daemon.peer] = *source;
    }
  }
  return sources;
}

}  // namespace

TEST_CASE("every daemon follows the store through few others") {
  rc::check([] {
    const int count = *rc::gen::inRange(1, 700);
    const int holder_count = *rc::gen::inRange(0, std::min(count, 8) + 1);
    const auto daemons = MakeDomain("a", count);
    const std::vector<DaemonEntry> holders(daemons.begin(),
                                           daemons.begin() + holder_count);
    const auto sources = SourcesOf(daemons, holders);
    RC_ASSERT(static_cast<int>(sources.size()) ==
              count - std::max(holder_count, 1));

    std::map<Endpoint, std::size_t> followers;
    for (const auto& [daemon, source] : sources) {
      ++followers[source];
      int hops = 0;
      for (auto at = sources.find(daemon); at != sources.end();
           at = sources.find(at->second)) {
        ++hops;
        RC_ASSERT(hops <= 3);
      }
    }
    for (const auto& [source, number] : followers) {
      RC_ASSERT(number <= kPeersPerSource);
    }
    for (const DaemonEntry& holder : holders) {
      RC_ASSERT(!sources.contains(holder.peer));
    }
  });
}

TEST_CASE("a daemon's source is in its failure domain") {
  auto daemons = MakeDomain("a", 20);
  const auto others = MakeDomain("b", 20);
  daemons.insert(daemons.end(), others.begin(), others.end());
  const std::vector<DaemonEntry> holders{daemons.front()};
  std::set<Endpoint> of_b;
  for (const DaemonEntry& daemon : others) {
    of_b.insert(daemon.peer);
  }
  for (const auto& [daemon, source] : SourcesOf(daemons, holders)) {
    CHECK(of_b.contains(daemon) == of_b.contains(source));
  }
}

TEST_CASE("a daemon that is not registered watches the store itself") {
  const auto daemons = MakeDomain("a", 20);
  CHECK_FALSE(ChooseWatchSource({"10.9.9.9", 2}, daemons, {}));
}

}  // namespace bramleyspoke
