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

/// Index of a leaf in a `ReplicaTable`; reused after the leaf is removed.
using LeafIndex = std::uint32_t;

/// State of one leaf as one engine sees it, mostly from its own attempts.
struct LeafRecord {
  Endpoint endpoint;
  bool is_used = false;
  /// Attempts sent whose outcome is outstanding.
  std::uint32_t in_flight = 0;
  /// Smoothed latency of answers; 0 before the first one.
  Duration latency{0};
  TimePoint latency_at;
  /// Incarnation of the leaf's current process; empty until it is reported.
  std::string incarnation;
  TimePoint incarnation_since;
  /// Incarnations of earlier processes, newest last.
  std::vector<std::string> past_incarnations;
  /// Time at which the leaf was added or restarted. Its load is increased
  /// gradually from then on.
  std::optional<TimePoint> cold_since;
  /// Incarnations reported as draining, newest last.
  std::vector<std::string> drained;
  /// Time at which an unknown incarnation was reported as draining; it may be
  /// the successor of `incarnation`.
  std::optional<TimePoint> unknown_drain_at;
  std::vector<IndexVersion> versions;
  /// The manifest or the VM list marks the leaf as leaving.
  bool is_leaving = false;
  bool is_reachable = true;
  /// Whether a status request has ended, with or without a status.
  bool has_status_result = false;
  std::optional<double> reported_load;
  std::uint32_t failures_in_row = 0;
  std::uint32_t ejections_in_row = 0;
  std::uint32_t sheds_in_row = 0;
  TimePoint ejected_until;
  /// Shards of live plans that the leaf has a replica of.
  std::vector<ShardPlan*> serves;

  /// Whether the leaf may receive new attempts.
  bool IsOpen() const;
  bool Has(const IndexVersion& version) const;
};

/// Table of all leafs of a service's layouts, including old layouts that are
/// still in use.
class ReplicaTable {
 public:
  /// Index of the leaf, which is added if absent. An added leaf starts cold if
  /// `is_new`.
  LeafIndex FindOrAdd(const Endpoint& endpoint, bool is_new, TimePoint now);
  std::optional<LeafIndex> Find(const Endpoint& endpoint) const;
  LeafRecord& At(LeafIndex index) { return m_leafs[index]; }
  const LeafRecord& At(LeafIndex index) const { return m_leafs[index]; }

  void SetLeaving(const std::set<Endpoint>& leaving);
  /// Whether the first status of some leaf is still outstanding.
  bool HasLeafWithoutStatus() const;
  /// Whether a leaf loaded or dropped a version recently, so that the known
  /// status of other leafs may be stale.
  bool HasRecentVersionChange(TimePoint now) const;
  /// Removes leafs that no plan refers to and that have no attempts in flight;
  /// returns their indexes.
  std::vector<LeafIndex> RemoveUnused();

  /// These return whether the choice of snapshot may change.
  bool OnStatus(LeafIndex index,
                const std::optional<LeafStatus>& status,
                TimePoint now);
  bool OnVersionMissing(LeafIndex index,
                        const IndexVersion& version,
                        TimePoint now);
  bool OnReachable(LeafIndex index, bool is_reachable);
  /// Records the incarnation given in an answer to an attempt or status request
  /// sent at `sent`.
  bool OnIncarnation(LeafIndex index,
                     const std::string& incarnation,
                     TimePoint sent,
                     TimePoint now);
  /// Records that the incarnation is draining; false if that was known.
  bool OnDrain(LeafIndex index, const std::string& incarnation, TimePoint now);

  const std::vector<LeafRecord>& Leafs() const { return m_leafs; }

 private:
  std::vector<LeafRecord> m_leafs;
  std::vector<LeafIndex> m_free;
  std::map<Endpoint, LeafIndex> m_by_endpoint;
  TimePoint m_versions_changed_at;
};

}  // namespace bramleyspoke
