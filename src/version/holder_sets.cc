#include "version/holder_sets.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "version/manifest_leafs.h"

namespace bramleyspoke {
namespace {

// A holder uses one connection per slot, and one for cancellations and status
// requests.
constexpr std::uint32_t kControlConnections = 1;
constexpr std::size_t kMinFailureDomains = 2;

std::uint64_t HashOf(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

std::size_t HolderSetSize(const ServiceSpec& spec) {
  const std::uint32_t connections_per_holder = spec.slots + kControlConnections;
  const std::uint32_t max_holders = spec.connections / connections_per_holder;
  // The connections of one holder stay free for a restart of a holder, during
  // which its old and its new process are both connected.
  const std::uint32_t bound = max_holders > 1 ? max_holders - 1 : 1;
  return std::clamp<std::uint32_t>(spec.holders, 1, bound);
}

HolderSets::Service HolderSets::MakeService(
    std::shared_ptr<const ServiceSpec> spec) {
  Service service;
  service.hash = HashOf(spec->name);
  service.size = HolderSetSize(*spec);
  ForEachReplica(*spec, [&](const Replica& replica) {
    service.failure_domains.insert(replica.failure_domain);
    service.regions.insert(replica.region);
  });
  service.spec = std::move(spec);
  return service;
}

HolderSets::Rank HolderSets::RankOf(const Service& service,
                                    const Member& member) {
  Rank rank;
  if (!service.failure_domains.contains(member.address.failure_domain)) {
    rank.distance = service.regions.contains(member.address.region) ? 1 : 2;
  }
  const std::uint64_t words[] = {service.hash, member.hash};
  rank.score = XXH3_64bits(words, sizeof(words));
  return rank;
}

// Whether the addition of `member` may change the service's holders; if not,
// the holders need not be recomputed.
bool HolderSets::MayChangeHolders(const Service& service,
                                  const Member& member) {
  const bool is_spread =
      service.size < kMinFailureDomains ||
      std::any_of(service.holders.begin(), service.holders.end(),
                  [&](const DaemonAddress& holder) {
                    return holder.failure_domain !=
                           service.holders.front().failure_domain;
                  });
  return service.holders.size() < service.size || !is_spread ||
         RankOf(service, member) < service.worst_rank;
}

void HolderSets::AddMember(const DaemonAddress& member) {
  RemoveMember(member.peer);
  const Member& added = m_members[member.peer] =
      Member{member, HashOf(ToString(member.peer))};
  for (auto& [name, service] : m_services) {
    if (MayChangeHolders(service, added)) {
      ComputeHolders(service);
    }
  }
}

void HolderSets::RemoveMember(const Endpoint& peer) {
  if (m_members.erase(peer) == 0) {
    return;
  }
  for (auto& [name, service] : m_services) {
    const bool is_holder =
        std::any_of(service.holders.begin(), service.holders.end(),
                    [&](const auto& holder) { return holder.peer == peer; });
    if (is_holder) {
      ComputeHolders(service);
    }
  }
}

void HolderSets::SetServices(const SpecMap& services) {
  std::erase_if(m_services, [&](const auto& entry) {
    return !services.contains(entry.first);
  });
  for (const auto& [name, spec] : services) {
    const auto known = m_services.find(name);
    if (known != m_services.end() && known->second.spec == spec) {
      continue;
    }
    Service& service = m_services[name];
    std::vector<DaemonAddress> holders = std::move(service.holders);
    service = MakeService(spec);
    service.holders = std::move(holders);
    ComputeHolders(service);
  }
}

void HolderSets::ComputeHolders(Service& service) {
  std::vector<Candidate> candidates;
  candidates.reserve(m_members.size());
  for (const auto& [peer, member] : m_members) {
    candidates.push_back({RankOf(service, member), &member});
  }
  const std::size_t size = std::min(service.size, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(size),
                    candidates.end());
  SpreadOverFailureDomains(candidates, size);
  std::vector<DaemonAddress> holders;
  for (std::size_t i = 0; i < size; ++i) {
    holders.push_back(candidates[i].member->address);
    service.worst_rank = candidates[i].rank;
  }
  if (holders != service.holders) {
    service.holders = std::move(holders);
    m_changed.insert(service.spec->name);
  }
}

// If the first `size` candidates are all in one failure domain, replaces the
// last of them by the best candidate of another.
void HolderSets::SpreadOverFailureDomains(std::vector<Candidate>& candidates,
                                          std::size_t size) {
  const auto is_elsewhere = [&](const Candidate& candidate) {
    return candidate.member->address.failure_domain !=
           candidates.front().member->address.failure_domain;
  };
  const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(size);
  if (size < kMinFailureDomains ||
      std::any_of(candidates.begin(), end, is_elsewhere)) {
    return;
  }
  const auto best = std::min_element(
      end, candidates.end(), [&](const Candidate& a, const Candidate& b) {
        return is_elsewhere(a) != is_elsewhere(b) ? is_elsewhere(a) : a < b;
      });
  if (best != candidates.end() && is_elsewhere(*best)) {
    std::swap(*(end - 1), *best);
  }
}

const std::vector<DaemonAddress>& HolderSets::HoldersOf(
    const std::string& service) const {
  static const std::vector<DaemonAddress> kNone;
  const auto found = m_services.find(service);
  return found == m_services.end() ? kNone : found->second.holders;
}

std::set<std::string> HolderSets::TakeChanged() {
  return std::exchange(m_changed, {});
}

}  // namespace bramleyspoke
