#include "process/entry_choice.h"

namespace bramleyspoke {
namespace {

template <typename Accepts>
std::vector<Endpoint> Select(const std::vector<DaemonEntry>& daemons,
                             Accepts accepts) {
  std::vector<Endpoint> addresses;
  for (const DaemonEntry& daemon : daemons) {
    if (addresses.size() < kMostEntryAddresses && accepts(daemon)) {
      addresses.push_back(daemon.address);
    }
  }
  return addresses;
}

}  // namespace

std::vector<Endpoint> ChooseEntryAddresses(
    const std::vector<DaemonEntry>& daemons,
    const std::set<std::string>& serving_regions,
    const std::string& caller_region) {
  const bool is_served = serving_regions.contains(caller_region);
  std::vector<Endpoint> addresses =
      Select(daemons, [&](const DaemonEntry& daemon) {
        return is_served ? daemon.region == caller_region
                         : serving_regions.contains(daemon.region);
      });
  if (addresses.size() >= kFewestEntryAddresses) {
    return addresses;
  }
  return Select(daemons, [](const DaemonEntry&) { return true; });
}

}  // namespace bramleyspoke
