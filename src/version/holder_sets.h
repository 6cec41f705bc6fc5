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

/// Most daemons that may hold connections to a service's leafs: the manifest's
/// wish, bounded by the leafs' connections with room for one that restarts
/// while its replacement connects already.
std::size_t HolderSetSize(const ServiceSpec& spec);

/// Which daemons hold connections to which service's leafs.
///
/// Rendezvous hashing over live members: those near the service's leafs come
/// first, over two failure domains at least where there are so many. All
/// daemons with the same members and manifest compute the same sets. A change
/// of one member looks at each service once and computes few of them again.
class HolderSets {
 public:
  void AddMember(const DaemonAddress& member);
  void RemoveMember(const Endpoint& peer);
  /// Takes a manifest's services; those with an unchanged spec stay as is.
  void SetServices(const SpecMap& services);

  /// Best first; empty for an unknown service.
  const std::vector<DaemonAddress>& HoldersOf(const std::string& service) const;
  /// Services whose holders changed since the last call.
  std::set<std::string> TakeChanged();

 private:
  /// Order of members for one service; less is better.
  struct Rank {
    int distance = 0;
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
    Rank worst;
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
  static bool MayJoin(const Service& service, const Member& member);
  void Compute(Service& service);
  static void SpreadOverFailureDomains(std::vector<Candidate>& candidates,
                                       std::size_t size);

  std::map<std::string, Service> m_services;
  std::map<Endpoint, Member> m_members;
  std::set<std::string> m_changed;
};

}  // namespace bramleyspoke
