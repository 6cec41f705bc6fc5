#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "version/manifest_parts.h"
#include "version/routing_table.h"

namespace bramleyspoke {

/// Number of daemons that may hold connections to a service's leafs: the
/// number in the manifest, limited by the connections that a leaf accepts, with
/// room for a holder that restarts while its replacement already connects.
std::size_t HolderSetSize(const ServiceSpec& spec);

/// Selects the daemons that hold connections to each service's leafs.
///
/// The sets come from rendezvous hashing over the live members. Members in the
/// leafs' failure domains rank first, then those in their regions; a set of two
/// or more spans at least two failure domains if the members do. All daemons
/// with the same members and manifest compute the same sets. When one member
/// changes, each service is checked once, and only the few sets that the change
/// may affect are recomputed.
class HolderSets {
 public:
  void AddMember(const DaemonAddress& member);
  void RemoveMember(const Endpoint& peer);
  /// Replaces the services by those of a manifest; a service with an unchanged
  /// spec keeps its holders.
  void SetServices(const SpecMap& services);

  /// Holders of the service, best rank first; empty if it is unknown.
  const std::vector<DaemonAddress>& HoldersOf(const std::string& service) const;
  /// Services whose holders changed since the last call.
  std::set<std::string> TakeChanged();

 private:
  /// Rank of a member for one service; a lower rank is better.
  struct Rank {
    /// 0 in a failure domain of the leafs, 1 in a region of the leafs, else 2.
    int distance = 0;
    /// Rendezvous hash of service and member.
    std::uint64_t score = 0;

    bool operator<(const Rank& other) const {
      return distance != other.distance ? distance < other.distance
                                        : score < other.score;
    }
  };
  struct Service {
    std::shared_ptr<const ServiceSpec> spec;
    std::uint64_t hash = 0;
    std::size_t size = 0;
    std::set<std::string> failure_domains;
    std::set<std::string> regions;
    std::vector<DaemonAddress> holders;
    /// Rank of the last holder.
    Rank worst_rank;
  };
  struct Member {
    DaemonAddress address;
    std::uint64_t hash = 0;
  };

  struct Candidate {
    Rank rank;
    const Member* member = nullptr;

    bool operator<(const Candidate& other) const { return rank < other.rank; }
  };

  static Service MakeService(std::shared_ptr<const ServiceSpec> spec);
  static Rank RankOf(const Service& service, const Member& member);
  static bool MayChangeHolders(const Service& service, const Member& member);
  void ComputeHolders(Service& service);
  static void SpreadOverFailureDomains(std::vector<Candidate>& candidates,
                                       std::size_t size);

  std::map<std::string, Service> m_services;
  std::map<Endpoint, Member> m_members;
  std::set<std::string> m_changed;
};

}  // namespace bramleyspoke
