#include "process/watcher_choice.h"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace bramleyspoke {
namespace {

constexpr std::size_t kMinWatchers = 3;

std::uint64_t AddressHash(const DaemonAddress& member) {
  const std::string& host = member.peer.host;
  return XXH3_64bits_withSeed(host.data(), host.size(), member.peer.port);
}

}  // namespace

bool IsWatcher(const DaemonAddress& self,
               const std::vector<DaemonAddress>& live) {
  const std::uint64_t own_hash = AddressHash(self);
  std::size_t before = 0;
  std::size_t before_in_region = 0;
  for (const DaemonAddress& member : live) {
    if (AddressHash(member) < own_hash) {
      ++before;
      before_in_region += member.region == self.region ? 1 : 0;
    }
  }
  return before < kMinWatchers || before_in_region == 0;
}

}  // namespace bramleyspoke
