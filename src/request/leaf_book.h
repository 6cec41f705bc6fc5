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
#include "request/leaf_load.h"
#include "request/repeat_budget.h"
#include "version/leaf_registration.h"
#include "version/route_table.h"

namespace bramleyspoke {

/// Where this daemon stands, and which failure domains are near.
struct Locality {
  std::string failure_domain;
  std::string region;
  /// Region of each failure domain.
  std::map<std::string, std::string, std::less<>> regions;

  bool IsSameRegion(const std::string& domain) const;
};

/// One run of a registered leaf, and what is known of its load.
struct RelayLeaf {
  LeafRegistration registration;
  LeafLoad load;
  /// In this daemon's region.
  bool is_near = false;
  /// No longer registered.
  bool is_gone = false;
  std::optional<TimePoint> draining_since = {};
  /// Attempts that this daemon may have there at once.
  std::uint32_t share = 1;
  /// Fewer for a while, after the leaf closed a new connection.
  std::uint32_t reduced_share = 1;
  TimePoint reduced_until = {};

  std::uint32_t Allowed(TimePoint now) const {
    return now < reduced_until ? reduced_share : share;
  }
  void OnConnectionRefused(TimePoint now);
};

/// Whether a leaf can be asked, and why not.
enum class LeafState {
  kReady,
  /// This daemon's share of it is in use.
  kFull,
  /// Passed over for a while after failures.
  kEjected,
  kDraining,
  kUnreachable,
  kGone,
};

std::string_view ToString(LeafState state);
LeafState StateOf(const RelayLeaf& leaf, TimePoint now);

/// An attempt that waits for room at one of a service's leafs.
struct WaitingPart {
  std::uint32_t priority = 0;
  std::uint64_t sequence = 0;
  std::uint64_t request = 0;
  std::size_t part = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads <=>.
  auto operator<=>(const WaitingPart&) const = default;
};

/// A service's leafs and what all requests to it share.
struct RelayService {
  std::string name;
  std::vector<std::shared_ptr<RelayLeaf>> leafs;
  RepeatBudget budget;
  std::set<WaitingPart> waiting;
};

/// All services and leafs that routes name or that registered themselves.
class LeafBook {
 public:
  /// A draining leaf still takes work for this long, if no other can.
  static constexpr Duration kDrainUse = std::chrono::milliseconds(1000);
  /// Connections of a leaf that its holders leave free for restarts.
  static constexpr double kConnectionReserve = 0.2;
  /// Connections to a leaf of another region: most work there goes through a
  /// daemon of that region.
  static constexpr std::uint32_t kFarShare = 2;
  /// Connections that are kept open: near, a request and another's hedge come
  /// together often.
  static constexpr std::size_t kNearKept = 2;
  static constexpr std::size_t kFarKept = 1;

  LeafBook(Locality locality, const RepeatAllowance& allowance)
      : m_locality(std::move(locality)), m_allowance(allowance) {}

  void SetTable(std::shared_ptr<const RouteTable> table);
  void SetLeafs(const std::vector<LeafRegistration>& leafs, TimePoint now);
  /// Daemons, this one included, by region: they share the leafs' connections
  /// and the allowance of repeats.
  void SetDaemons(std::map<std::string, std::size_t> by_region);
  void OnReachable(const Endpoint& address, bool is_reachable, TimePoint now);

  RelayService& Service(const std::string& name);
  const std::map<std::string, std::unique_ptr<RelayService>>& Services() const {
    return m_services;
  }
  std::map<LeafState, std::size_t> CountByState(TimePoint now) const;
  /// Repeats left of the service that has the fewest; 0 without services.
  double LeastBudget() const;
  /// How many connections are worth keeping to which leafs.
  std::map<Endpoint, std::size_t> KeptConnections() const;
  /// Daemons that can each hold a connection for every slot of a leaf, and one
  /// to spare, at every service; more would know less of the leafs each.
  std::size_t HolderCount() const;
  /// Regions with the most services that have a leaf there that is not
  /// draining.
  std::set<std::string> ServingRegions() const;
  /// Empty if it is not known.
  std::string RegionOf(const RelayLeaf& leaf) const;
  const Locality& Place() const { return m_locality; }

 private:
  void Share();
  std::size_t KeptOf(const RelayLeaf& leaf) const;
  std::size_t DaemonCount() const;
  std::uint32_t ShareOf(const LeafRegistration& leaf) const;
  std::uint32_t ConnectionLimit(const std::string& service) const;
  Duration PriorWay(const LeafRegistration& leaf) const;

  Locality m_locality;
  RepeatAllowance m_allowance;
  std::shared_ptr<const RouteTable> m_table;
  std::map<std::string, std::size_t> m_daemons;
  std::shared_ptr<FleetPatterns> m_fleet = std::make_shared<FleetPatterns>();
  std::map<std::string, std::unique_ptr<RelayService>> m_services;
  std::map<std::string, std::shared_ptr<RelayLeaf>> m_leafs;
};

/// Which leafs are considered.
enum class LeafScope {
  kAny,
  kNear,
};

struct LeafChoice {
  std::shared_ptr<RelayLeaf> leaf;
  /// Leafs are there, but this daemon's share of each is in use.
  bool is_full = false;
};

/// The best leaf of `service` for a request of this kind; null if none will
/// do. `tried` leafs are passed over.
LeafChoice ChooseLeaf(const RelayService& service,
                      const std::string& kind,
                      const std::vector<const RelayLeaf*>& tried,
                      TimePoint now,
                      LeafScope scope = LeafScope::kAny);

}  // namespace bramleyspoke
