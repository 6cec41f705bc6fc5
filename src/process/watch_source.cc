#include "process/watch_source.h"

#include <algorithm>
#include <set>
#include <utility>

#include "process/holder_choice.h"

namespace bramleyspoke {
namespace {

// Index of the parent of the node at `index`, which is no root. Each level of
// the trees is filled evenly before the next one begins.
std::size_t ParentOf(std::size_t index, std::size_t roots) {
  std::size_t parents_begin = 0;
  std::size_t parents = roots;
  std::size_t level_begin = roots;
  while (index >= level_begin + parents * kPeersPerSource) {
    parents_begin = level_begin;
    level_begin += parents * kPeersPerSource;
    parents *= kPeersPerSource;
  }
  return parents_begin + (index - level_begin) % parents;
}

}  // namespace

// A failure domain keeps the traffic between daemons off the links between
// domains, which is slower and costs more.
std::optional<Endpoint> ChooseWatchSource(
    const Endpoint& self,
    const std::vector<DaemonEntry>& daemons,
    const std::vector<DaemonEntry>& holders) {
  const auto is_self = [&self](const DaemonEntry& daemon) {
    return daemon.peer == self;
  };
  const auto own = std::find_if(daemons.begin(), daemons.end(), is_self);
  if (own == daemons.end()) {
    return std::nullopt;
  }
  std::set<Endpoint> holder_peers;
  for (const DaemonEntry& holder : holders) {
    holder_peers.insert(holder.peer);
  }
  std::vector<DaemonEntry> domain;
  std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(domain),
               [&own](const DaemonEntry& daemon) {
                 return daemon.failure_domain == own->failure_domain;
               });
  std::sort(domain.begin(), domain.end(), [&](const auto& a, const auto& b) {
    const auto rank = [&](const DaemonEntry& daemon) {
      return std::make_pair(!holder_peers.contains(daemon.peer),
                            AddressHash(daemon));
    };
    return rank(a) < rank(b);
  });
  const auto holder_count = static_cast<std::size_t>(std::count_if(
      domain.begin(), domain.end(),
      [&](const auto& daemon) { return holder_peers.contains(daemon.peer); }));
  const std::size_t roots = std::max<std::size_t>(holder_count, 1);
  const auto index = static_cast<std::size_t>(
      std::find_if(domain.begin(), domain.end(), is_self) - domain.begin());
  if (index < roots) {
    return std::nullopt;
  }
  return domain[ParentOf(index, roots)].peer;
}

}  // namespace bramleyspoke
