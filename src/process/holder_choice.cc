#include "process/holder_choice.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace bramleyspoke {
namespace {

template <typename Accepts>
std::vector<Endpoint> Select(const std::vector<DaemonEntry>& daemons,
                             Accepts accepts) {
  std::vector<Endpoint> addresses;
  for (const DaemonEntry& daemon : daemons) {
    if (addresses.size() < kMaxAddresses && accepts(daemon)) {
      addresses.push_back(daemon.address);
    }
  }
  return addresses;
}

// Length of the shortest prefix of `daemons` that has the processor capacity of
// `share` average daemons and at least `kMinHoldersPerRegion` daemons, or of
// all if there are fewer.
std::size_t CountDaemonsForCapacity(std::size_t share,
                                    const std::vector<DaemonEntry>& daemons) {
  double all = 0;
  for (const DaemonEntry& daemon : daemons) {
    all += daemon.processor;
  }
  const double needed =
      all * static_cast<double>(share) / static_cast<double>(daemons.size());
  std::size_t count = 0;
  double sum = 0;
  while (count < daemons.size() &&
         (count < kMinHoldersPerRegion || sum < needed)) {
    sum += daemons[count].processor;
    ++count;
  }
  return count;
}

}  // namespace

// FNV-1a hash of the address. It gives the same order at every daemon, prefers
// no group of addresses, and a daemon that joins or leaves changes few holders.
std::uint64_t AddressHash(const DaemonEntry& daemon) {
  constexpr std::uint64_t kOffset = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffset;
  for (const char c : ToString(daemon.address)) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  return hash;
}

bool IsPreferredHolder(const DaemonEntry& a, const DaemonEntry& b) {
  return std::make_pair(b.processor, AddressHash(a)) <
         std::make_pair(a.processor, AddressHash(b));
}

// If many daemons share leafs that accept few connections, a few holders can
// keep enough connections, and each sees enough responses of its leafs to
// estimate their load.
//
// If VMs differ in size, a fan-out takes several times as long on a small one,
// so daemons on the largest VMs are chosen first.
std::vector<DaemonEntry> ChooseHolders(const std::vector<DaemonEntry>& daemons,
                                       std::size_t holders) {
  std::map<std::string, std::vector<DaemonEntry>> by_region;
  for (const DaemonEntry& daemon : daemons) {
    by_region[daemon.region].push_back(daemon);
  }
  std::vector<DaemonEntry> chosen;
  for (auto& [region, list] : by_region) {
    const std::size_t fleet_holders = std::min(holders, daemons.size());
    const std::size_t share =
        (fleet_holders * list.size() + daemons.size() - 1) / daemons.size();
    std::sort(list.begin(), list.end(), IsPreferredHolder);
    const std::size_t count = CountDaemonsForCapacity(share, list);
    chosen.insert(chosen.end(), list.begin(),
                  list.begin() + static_cast<std::ptrdiff_t>(count));
  }
  return chosen;
}

// Holders stay holders while they are cut off: replacing them would cost the
// leafs new connections twice, and who replaces them may be cut off too.
std::vector<DaemonEntry> KeepInContact(
    const std::vector<DaemonEntry>& daemons) {
  std::vector<DaemonEntry> kept;
  std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(kept),
               [](const DaemonEntry& daemon) { return !daemon.is_cut_off; });
  return kept.empty() ? daemons : kept;
}

std::vector<Endpoint> ChooseCallerAddresses(
    const std::vector<DaemonEntry>& holders,
    const std::set<std::string>& serving_regions,
    const std::string& caller_region) {
  const bool is_served = serving_regions.contains(caller_region);
  std::vector<Endpoint> addresses =
      Select(holders, [&](const DaemonEntry& daemon) {
        return is_served ? daemon.region == caller_region
                         : serving_regions.contains(daemon.region);
      });
  if (addresses.size() >= kMinRegionalAddresses) {
    return addresses;
  }
  return Select(holders, [](const DaemonEntry&) { return true; });
}

}  // namespace bramleyspoke
