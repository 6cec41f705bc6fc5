#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/backend_server.h"

namespace bramleyspoke {

struct ShardPlan;

/// Place of a leaf in a `ReplicaBook`; reused after the leaf is gone.
using LeafIndex = std::uint32_t;

/// What one engine knows of one leaf, mostly from its own attempts.
struct LeafState {
  Endpoint endpoint;
  bool is_used = false;
  /// Attempts sent whose outcome has not come.
  std::uint32_t in_flight = 0;
  /// Smoothed latency as seen here; 0 before the first answer.
  Duration latency{0};
  TimePoint latency_at;
  /// Of the process that the leaf runs as; empty until it says so.
  std::string incarnation;
  TimePoint incarnation_since;
  /// Of processes before this one, newest last.
  std::vector<std::string> past_incarnations;
  /// New or restarted at this time, so eased in.
  std::optional<TimePoint> cold_since;
  /// Incarnations that said that they drain, newest last.
  std::vector<std::string> drained;
  /// When a peer spoke of a process here that drains and is not known yet;
  /// it may be the one after `incarnation`.
  std::optional<TimePoint> unknown_drain_at;
  std::vector<IndexVersion> versions;
  /// The manifest or VM list says that it leaves.
  bool is_leaving = false;
  bool is_reachable = true;
  /// Whether its status came, or could not be had.
  bool is_heard = false;
  std::optional<double> reported_load;
  std::uint32_t failures_in_row = 0;
  std::uint32_t ejections_in_row = 0;
  std::uint32_t sheds_in_row = 0;
  TimePoint ejected_until;
  /// Shards of live plans that it has a copy of.
  std::vector<ShardPlan*> serves;

  /// Whether it may get new work at all.
  bool IsOpen() const;
  bool Has(const IndexVersion& version) const;
};

/// All leafs of a service's layouts, old layouts still in use included.
class ReplicaBook {
 public:
  /// The leaf's place; `is_new` leafs start cold.
  LeafIndex Intern(const Endpoint& endpoint, bool is_new, TimePoint now);
  std::optional<LeafIndex> Find(const Endpoint& endpoint) const;
  LeafState& At(LeafIndex index) { return m_leafs[index]; }
  const LeafState& At(LeafIndex index) const { return m_leafs[index]; }

  void SetLeaving(const std::set<Endpoint>& leaving);
  /// Whether some leaf's status is still awaited for the first time.
  bool HasUnheard() const;
  /// Whether a leaf took or dropped a version a moment ago: the others' status
  /// may not tell yet.
  bool AreVersionsMoving(TimePoint now) const;
  /// Forgets leafs that no plan names and that owe no outcome; says which.
  std::vector<LeafIndex> Sweep();

  /// Each returns whether the choice of snapshot may change by it.
  bool OnStatus(LeafIndex index,
                const std::optional<LeafStatus>& status,
                TimePoint now);
  bool OnVersionMissing(LeafIndex index,
                        const IndexVersion& version,
                        TimePoint now);
  bool OnReachable(LeafIndex index, bool is_reachable);
  /// An incarnation seen in an answer to what was sent at `sent`.
  bool OnIncarnation(LeafIndex index,
                     const std::string& incarnation,
                     TimePoint sent,
                     TimePoint now);
  /// Whether this drain word is news.
  bool OnDrain(LeafIndex index, const std::string& incarnation, TimePoint now);

  const std::vector<LeafState>& Leafs() const { return m_leafs; }

 private:
  std::vector<LeafState> m_leafs;
  std::vector<LeafIndex> m_free;
  std::map<Endpoint, LeafIndex> m_by_endpoint;
  TimePoint m_versions_moved_at;
};

}  // namespace bramleyspoke
