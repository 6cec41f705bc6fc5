#include "request/leaf_table.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bramleyspoke {
namespace {

// Round-trip time assumed for a leaf that has not responded yet, by location.
constexpr Duration kSameDomainRoundTrip = std::chrono::microseconds(400);
constexpr Duration kSameRegionRoundTrip = std::chrono::milliseconds(1);
constexpr Duration kOtherRegionRoundTrip = std::chrono::milliseconds(40);

constexpr std::uint32_t kDefaultConnectionLimit = 8;

// Negative if an entry of an earlier run has come back.
Duration TimeBetweenStarts(const LeafRegistration& from,
                           const LeafRegistration& to) {
  // The times are the leaf's and may be any numbers.
  constexpr std::int64_t kMaxMilliseconds =
      std::int64_t{365} * 24 * 3600 * 1000;
  const double difference = static_cast<double>(to.started_at_ms) -
                            static_cast<double>(from.started_at_ms);
  const double bounded =
      std::clamp(difference, -static_cast<double>(kMaxMilliseconds),
                 static_cast<double>(kMaxMilliseconds));
  return std::chrono::milliseconds(static_cast<std::int64_t>(bounded));
}

// A peer near the leaf can use its own part of the rate, and the leaf may not
// have asked it for a pause.
LeafState StateIn(LeafScope scope, const RelayLeaf& leaf, TimePoint now) {
  const LeafState state = StateOf(leaf, now);
  const bool is_delegable = scope == LeafScope::kDelegable && !leaf.is_near;
  const bool is_limited =
      state == LeafState::kRateLimited || state == LeafState::kPaused;
  return is_delegable && is_limited ? LeafState::kReady : state;
}

TimePoint AcceptsAt(const RelayLeaf& leaf, TimePoint now) {
  return std::max(leaf.pause.End(), leaf.rate_limit.NextAt(now));
}

void KeepEarliest(std::optional<LeafWait>& earliest, const LeafWait& other) {
  if (!earliest || other.until < earliest->until) {
    earliest = other;
  }
}

}  // namespace

bool Locality::IsSameRegion(const std::string& domain) const {
  const auto found = regions.find(domain);
  return found != regions.end() && found->second == region;
}

void LeafTable::SetRouteTable(std::shared_ptr<const RouteTable> table) {
  m_route_table = std::move(table);
  UpdateShares();
}

void LeafTable::SetLeafs(const std::vector<LeafRegistration>& leafs,
                         TimePoint now) {
  std::map<std::string, std::shared_ptr<RelayLeaf>> leafs_by_id;
  for (const LeafRegistration& registration : leafs) {
    const std::shared_ptr<RelayLeaf> leaf = FindOrMake(registration, now);
    leaf->is_near = m_locality.IsSameRegion(registration.failure_domain);
    if (!registration.is_draining && !leaf->leaving_said_at) {
      leaf->draining_since.reset();
    } else if (!leaf->draining_since) {
      leaf->draining_since = now;
    }
    leafs_by_id.emplace(registration.id, leaf);
  }
  for (auto& [id, leaf] : m_leafs) {
    const auto found = leafs_by_id.find(id);
    if (found == leafs_by_id.end()) {
      m_departed[id] = {leaf, now};
    }
    leaf->is_restarted = found != leafs_by_id.end() && found->second != leaf;
    leaf->is_gone = found == leafs_by_id.end() || leaf->is_restarted;
  }
  std::erase_if(m_departed, [&](const auto& entry) {
    return leafs_by_id.contains(entry.first) ||
           now - entry.second.at >= kDepartedRetention;
  });
  m_leafs = std::move(leafs_by_id);
  std::map<RelayService*, std::vector<std::shared_ptr<RelayLeaf>>> before;
  for (auto& [name, service] : m_services) {
    before[service.get()] = std::exchange(service->leafs, {});
  }
  for (const auto& [id, leaf] : m_leafs) {
    Service(leaf->registration.service).leafs.push_back(leaf);
  }
  for (auto& [name, service] : m_services) {
    if (before[service.get()] != service->leafs) {
      service->leafs_changed_at = now;
    }
  }
  UpdateShares();
}

// An entry may lapse, for example while the store is away, and come back, while
// the leaf runs on. Its next run may also be registered late: what the leaf
// said before that is the next run's if it was said after that run began, by
// the leaf's own clock.
std::shared_ptr<RelayLeaf> LeafTable::FindOrMake(
    const LeafRegistration& registration,
    TimePoint now) {
  const std::shared_ptr<RelayLeaf> known = FindKnown(registration.id);
  const bool is_same_run =
      known && known->registration.started_at_ms == registration.started_at_ms;
  if (is_same_run && known->registration.address == registration.address &&
      known->registration.service == registration.service) {
    known->registration = registration;
    known->is_gone = false;
    return known;
  }
  auto made = std::make_shared<RelayLeaf>(RelayLeaf{
      registration,
      LeafLoad(registration.slots, InitialRoundTrip(registration), m_fleet)});
  made->first_seen = now;
  if (known) {
    const TimePoint start =
        known->first_seen +
        TimeBetweenStarts(known->registration, registration);
    made->first_seen = std::min(now, start);
    made->TakeAnnouncements(*known, start);
  }
  return made;
}

std::shared_ptr<RelayLeaf> LeafTable::FindKnown(const std::string& id) const {
  if (const auto found = m_leafs.find(id); found != m_leafs.end()) {
    return found->second;
  }
  const auto departed = m_departed.find(id);
  return departed == m_departed.end() ? nullptr : departed->second.leaf;
}

void LeafTable::SetDaemons(std::map<std::string, std::size_t> by_region,
                           bool are_known) {
  m_daemons = std::move(by_region);
  if (are_known) {
    m_slack_shares = DaemonCount();
  }
  for (auto& [name, service] : m_services) {
    service->budget.SetDaemons(m_slack_shares);
  }
  UpdateShares();
}

std::size_t LeafTable::DaemonCount() const {
  std::size_t count = 0;
  for (const auto& [region, daemons] : m_daemons) {
    count += daemons;
  }
  return std::max<std::size_t>(count, 1);
}

void LeafTable::OnReachable(const Endpoint& address,
                            bool is_reachable,
                            TimePoint now) {
  for (const auto& [id, leaf] : m_leafs) {
    if (leaf->registration.address != address) {
      continue;
    }
    if (is_reachable) {
      leaf->load.OnReachable();
    } else {
      leaf->load.OnUnreachable(now);
    }
  }
}

void LeafTable::OnContactRestored() {
  for (const auto& [id, leaf] : m_leafs) {
    leaf->load.OnContactRestored();
  }
}

RelayService& LeafTable::Service(const std::string& name) {
  auto& service = m_services[name];
  if (!service) {
    service = std::make_unique<RelayService>(
        RelayService{name,
                     {},
                     RetryBudget(m_allowance, m_slack_shares),
                     {},
                     {},
                     {},
                     {},
                     {}});
  }
  return *service;
}

std::map<LeafState, std::size_t> LeafTable::CountByState(TimePoint now) const {
  std::map<LeafState, std::size_t> counts;
  for (const auto& [id, leaf] : m_leafs) {
    ++counts[StateOf(*leaf, now)];
  }
  return counts;
}

double LeafTable::LeastBudget() const {
  std::optional<double> least;
  for (const auto& [name, service] : m_services) {
    const double tokens = service->budget.Tokens();
    least = std::min(least.value_or(tokens), tokens);
  }
  return least.value_or(0);
}

std::map<Endpoint, std::size_t> LeafTable::ConnectionPoolSizes() const {
  std::map<Endpoint, std::size_t> pool_sizes;
  for (const auto& [id, leaf] : m_leafs) {
    if (!leaf->draining_since) {
      pool_sizes[leaf->registration.address] = PoolSizeOf(*leaf);
    }
  }
  return pool_sizes;
}

// A fleet may have more daemons than a leaf accepts connections. Daemons of
// other regions then keep no connection open, as they reach the leaf through a
// daemon of its region.
std::size_t LeafTable::PoolSizeOf(const RelayLeaf& leaf) const {
  const std::size_t even_share =
      ConnectionLimit(leaf.registration.service) / DaemonCount();
  if (RegionOf(leaf) != m_locality.region) {
    return std::min(even_share, kFarPoolSize);
  }
  return std::min<std::size_t>(leaf.share, kNearPoolSize);
}

std::size_t LeafTable::HolderCount() const {
  std::size_t fewest = std::numeric_limits<std::size_t>::max();
  for (const auto& [id, leaf] : m_leafs) {
    const double usable =
        ConnectionLimit(leaf->registration.service) * (1 - kConnectionReserve);
    const auto holders =
        static_cast<std::size_t>(usable / (leaf->registration.slots + 1));
    fewest = std::min(fewest, holders);
  }
  return fewest;
}

std::vector<Endpoint> LeafTable::ChooseProbes(std::size_t count,
                                              std::size_t round) const {
  std::map<std::string, std::vector<const RelayLeaf*>> by_domain;
  std::size_t most = 0;
  for (const auto& [id, leaf] : m_leafs) {
    auto& domain = by_domain[leaf->registration.failure_domain];
    domain.push_back(leaf.get());
    most = std::max(most, domain.size());
  }
  for (auto& [name, leafs] : by_domain) {
    std::stable_sort(leafs.begin(), leafs.end(),
                     [](const RelayLeaf* a, const RelayLeaf* b) {
                       return a->load.LastAnswer() > b->load.LastAnswer();
                     });
  }
  std::vector<Endpoint> probes;
  for (std::size_t turn = 0; turn < most; ++turn) {
    for (const auto& [name, leafs] : by_domain) {
      if (turn < leafs.size() && probes.size() < count) {
        const std::size_t index = (round * count + turn) % leafs.size();
        probes.push_back(leafs[index]->registration.address);
      }
    }
  }
  return probes;
}

std::set<std::string> LeafTable::ServingRegions() const {
  std::map<std::string, std::size_t> services_in;
  for (const auto& [name, service] : m_services) {
    std::set<std::string> seen;
    for (const auto& leaf : service->leafs) {
      const auto region =
          m_locality.regions.find(leaf->registration.failure_domain);
      if (region != m_locality.regions.end() && !leaf->draining_since) {
        seen.insert(region->second);
      }
    }
    for (const std::string& region : seen) {
      ++services_in[region];
    }
  }
  std::size_t most = 0;
  for (const auto& [region, count] : services_in) {
    most = std::max(most, count);
  }
  std::set<std::string> serving;
  for (const auto& [region, count] : services_in) {
    if (2 * count >= most) {
      serving.insert(region);
    }
  }
  return serving;
}

std::string LeafTable::RegionOf(const RelayLeaf& leaf) const {
  const auto found = m_locality.regions.find(leaf.registration.failure_domain);
  return found == m_locality.regions.end() ? std::string() : found->second;
}

void LeafTable::UpdateShares() {
  for (const auto& [id, leaf] : m_leafs) {
    leaf->share = ShareOf(leaf->registration);
    leaf->rate_limit.SetFraction(RateFractionOf(*leaf));
  }
}

// A leaf may accept few connections while there are many daemons. The daemons
// of the leaf's own region send it most of its requests, so they get the larger
// part.
std::uint32_t LeafTable::ShareOf(const LeafRegistration& leaf) const {
  const auto usable = static_cast<std::uint32_t>(ConnectionLimit(leaf.service) *
                                                 (1 - kConnectionReserve));
  const auto all = static_cast<std::uint32_t>(DaemonCount());
  const std::uint32_t even_share = std::max<std::uint32_t>(1, usable / all);
  const auto region = m_locality.regions.find(leaf.failure_domain);
  const auto found = region == m_locality.regions.end()
                         ? m_daemons.end()
                         : m_daemons.find(region->second);
  if (found == m_daemons.end() || found->second == 0) {
    return even_share;
  }
  const std::uint32_t far_share = std::min(even_share, kFarShare);
  if (region->second != m_locality.region) {
    return far_share;
  }
  const auto near = static_cast<std::uint32_t>(found->second);
  const std::uint32_t taken = far_share * (all - near);
  return std::max(even_share, taken < usable ? (usable - taken) / near : 1);
}

// The daemons of the leaf's own region send it most of its requests: those of
// other regions delegate theirs.
double LeafTable::RateFractionOf(const RelayLeaf& leaf) const {
  const auto all = static_cast<double>(DaemonCount());
  const auto found = m_daemons.find(RegionOf(leaf));
  const auto near =
      found == m_daemons.end() ? 0.0 : static_cast<double>(found->second);
  const double far = all - near;
  if (near <= 0 || far <= 0) {
    return 1 / all;
  }
  return RegionOf(leaf) == m_locality.region ? (1 - kFarRateFraction) / near
                                             : kFarRateFraction / far;
}

std::uint32_t LeafTable::ConnectionLimit(const std::string& service) const {
  if (!m_route_table) {
    return kDefaultConnectionLimit;
  }
  const auto found = m_route_table->Services().find(service);
  return found == m_route_table->Services().end()
             ? kDefaultConnectionLimit
             : found->second.connection_limit;
}

Duration LeafTable::InitialRoundTrip(const LeafRegistration& leaf) const {
  if (leaf.failure_domain == m_locality.failure_domain) {
    return kSameDomainRoundTrip;
  }
  return m_locality.IsSameRegion(leaf.failure_domain) ? kSameRegionRoundTrip
                                                      : kOtherRegionRoundTrip;
}

LeafChoice ChooseLeaf(const RelayService& service,
                      const std::string& kind,
                      const std::vector<const RelayLeaf*>& tried,
                      TimePoint now,
                      LeafScope scope) {
  LeafChoice choice;
  LeafState best_state = LeafState::kGone;
  Duration best_cost{0};
  for (const auto& leaf : service.leafs) {
    if ((scope == LeafScope::kNear && !leaf->is_near) ||
        std::find(tried.begin(), tried.end(), leaf.get()) != tried.end()) {
      continue;
    }
    const LeafState state = StateIn(scope, *leaf, now);
    switch (state) {
      case LeafState::kDrained:
      case LeafState::kUnreachable:
      case LeafState::kGone:
        continue;
      case LeafState::kFull:
        choice.is_full = true;
        continue;
      case LeafState::kRateLimited:
      case LeafState::kPaused:
        KeepEarliest(choice.wait, {state, AcceptsAt(*leaf, now)});
        continue;
      case LeafState::kReady:
      case LeafState::kDraining:
      case LeafState::kEjected:
        break;
    }
    const Duration cost = leaf->load.Cost(kind, now);
    if (!choice.leaf || state < best_state ||
        (state == best_state && cost < best_cost)) {
      choice.leaf = leaf;
      best_state = state;
      best_cost = cost;
    }
  }
  return choice;
}

}  // namespace bramleyspoke
