#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "request/relay_leaf.h"
#include "request/request_rate.h"
#include "request/retry_budget.h"
#include "version/leaf_registration.h"
#include "version/route_table.h"

namespace bramleyspoke {

/// The location of this daemon, and the region of every failure domain.
struct Locality {
  std::string failure_domain;
  std::string region;
  /// Region by failure domain.
  std::map<std::string, std::string, std::less<>> regions;

  bool IsSameRegion(const std::string& domain) const;
};

/// An attempt that waits for capacity at one of a service's leafs. Ordered by
/// priority, then by arrival.
struct WaitingPart {
  std::uint32_t priority = 0;
  std::uint64_t sequence = 0;
  std::uint64_t request = 0;
  std::size_t part = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads <=>.
  auto operator<=>(const WaitingPart&) const = default;
};

/// A service's leafs, and the state shared by all requests to the service.
struct RelayService {
  std::string name;
  std::vector<std::shared_ptr<RelayLeaf>> leafs;
  RetryBudget budget;
  std::set<WaitingPart> waiting;
  /// Parts that wait for the retry budget, in the order in which they get it.
  std::set<WaitingPart> held;
  /// Of the requests that refill the retry budget.
  RequestRate request_rate;
  /// When a leaf was last added or removed.
  TimePoint leafs_changed_at = {};
  /// Until when no parts are handed over to peers, as one that reaches leafs
  /// has just failed to get an answer.
  TimePoint peers_failed_until = {};
  /// Attempts sent to the leafs so far.
  std::uint64_t sends = 0;
};

/// All services and leafs that are named by a route or registered.
class LeafTable {
 public:
  /// Fraction of a leaf's connection limit that the daemons connected to it
  /// leave free for restarts.
  static constexpr double kConnectionReserve = 0.2;
  /// Fraction of a leaf's request rate that the daemons of other regions share.
  static constexpr double kFarRateFraction = 0.1;
  /// Maximum share of a leaf in another region: most attempts there are sent by
  /// a daemon of that region.
  static constexpr std::uint32_t kFarShare = 2;
  /// Number of connections kept open to a leaf. In this daemon's region, a
  /// request and the hedge of another request are often in flight together.
  static constexpr std::size_t kNearPoolSize = 2;
  static constexpr std::size_t kFarPoolSize = 1;
  /// How long a leaf that is no longer registered is remembered, in case that
  /// its entry comes back.
  static constexpr Duration kDepartedRetention = std::chrono::minutes(10);

  LeafTable(Locality locality, const RetryAllowance& allowance)
      : m_locality(std::move(locality)), m_allowance(allowance) {}

  void SetRouteTable(std::shared_ptr<const RouteTable> table);
  void SetLeafs(const std::vector<LeafRegistration>& leafs, TimePoint now);
  /// Sets the number of daemons by region, this one included. They share the
  /// leafs' connections and the retry allowance, of which this one takes only
  /// what requests add until the others are known.
  void SetDaemons(std::map<std::string, std::size_t> by_region,
                  bool are_known = true);
  void OnReachable(const Endpoint& address, bool is_reachable, TimePoint now);

  /// Sets whether this daemon can reach any leaf.
  void SetOutOfReach(bool is_out_of_reach) {
    m_fleet->is_out_of_reach = is_out_of_reach;
  }
  /// Takes back what was concluded of leafs while the daemon was cut off.
  void OnContactRestored();

  RelayService& Service(const std::string& name);
  const std::map<std::string, std::unique_ptr<RelayService>>& Services() const {
    return m_services;
  }
  std::size_t LeafCount() const { return m_leafs.size(); }
  std::map<LeafState, std::size_t> CountByState(TimePoint now) const;
  /// The lowest number of tokens in any service's retry budget; 0 without
  /// services.
  double LeastBudget() const;
  /// Number of connections to keep open to each leaf that is not draining.
  std::map<Endpoint, std::size_t> ConnectionPoolSizes() const;
  /// Number of daemons that can each hold one connection per slot and a spare
  /// one to every leaf, without using `kConnectionReserve`. With more daemons,
  /// each would know less about the leafs.
  std::size_t HolderCount() const;
  /// Up to `count` leafs to which a connection can be tried, of different
  /// failure domains: in the first round those that answered last, then others.
  std::vector<Endpoint> ChooseProbes(std::size_t count,
                                     std::size_t round) const;
  /// Regions that have non-draining leafs of at least half as many services as
  /// the region with the most.
  std::set<std::string> ServingRegions() const;
  /// Empty if the region is not known.
  std::string RegionOf(const RelayLeaf& leaf) const;
  const Locality& OwnLocality() const { return m_locality; }

 private:
  struct DepartedLeaf {
    std::shared_ptr<RelayLeaf> leaf;
    TimePoint at;
  };

  /// The leaf for an entry: the known one, if it has not started again.
  std::shared_ptr<RelayLeaf> FindOrMake(const LeafRegistration& registration,
                                        TimePoint now);
  /// The leaf of this id, registered or departed; null if none.
  std::shared_ptr<RelayLeaf> FindKnown(const std::string& id) const;
  void UpdateShares();
  double RateFractionOf(const RelayLeaf& leaf) const;
  std::size_t PoolSizeOf(const RelayLeaf& leaf) const;
  std::size_t DaemonCount() const;
  std::uint32_t ShareOf(const LeafRegistration& leaf) const;
  std::uint32_t ConnectionLimit(const std::string& service) const;
  Duration InitialRoundTrip(const LeafRegistration& leaf) const;

  Locality m_locality;
  RetryAllowance m_allowance;
  std::shared_ptr<const RouteTable> m_route_table;
  std::map<std::string, std::size_t> m_daemons;
  /// Number of daemons that share the slack of the retry allowance; 0 while it
  /// is not known.
  std::size_t m_slack_shares = 0;
  std::shared_ptr<FleetStatistics> m_fleet =
      std::make_shared<FleetStatistics>();
  std::map<std::string, std::unique_ptr<RelayService>> m_services;
  std::map<std::string, std::shared_ptr<RelayLeaf>> m_leafs;
  /// Leafs that are no longer registered, by id.
  std::map<std::string, DepartedLeaf> m_departed;
};

/// The leafs considered in a choice.
enum class LeafScope {
  kAny,
  /// Those in this daemon's region.
  kNear,
  /// All, including those in other regions that accept no requests from this
  /// daemon now: a peer there can send them.
  kDelegable,
};

/// A leaf that accepts requests again at a known time.
struct LeafWait {
  /// `kRateLimited` or `kPaused`.
  LeafState state = LeafState::kRateLimited;
  TimePoint until;
};

struct LeafChoice {
  std::shared_ptr<RelayLeaf> leaf;
  /// Whether a leaf was skipped because this daemon's share of it is in use.
  bool is_full = false;
  /// Set if leafs were skipped that accept requests again later: the first one.
  std::optional<LeafWait> wait;
};

/// The best leaf of `service` for a request of this kind: by state, then by
/// lowest cost. Null if none is available. Leafs in `tried` are skipped.
LeafChoice ChooseLeaf(const RelayService& service,
                      const std::string& kind,
                      const std::vector<const RelayLeaf*>& tried,
                      TimePoint now,
                      LeafScope scope = LeafScope::kAny);

}  // namespace bramleyspoke
