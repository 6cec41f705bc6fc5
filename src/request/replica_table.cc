#include "request/replica_table.h"

#include <algorithm>

namespace bramleyspoke {
namespace {

constexpr Duration kVersionChangeWindow = std::chrono::milliseconds(300);

// Reports of incarnations may arrive in any order. A few earlier ones are kept
// so that a stale report does not replace the current incarnation.
constexpr std::size_t kMaxKeptIncarnations = 4;

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

void Append(std::vector<std::string>& list, const std::string& value) {
  if (list.size() == kMaxKeptIncarnations) {
    list.erase(list.begin());
  }
  list.push_back(value);
}

// A response of the current process to a request sent after the drain notice
// shows that the notice was about an earlier process.
bool ClearStaleUnknownDrain(LeafRecord& leaf, TimePoint sent) {
  if (!leaf.unknown_drain_at || sent <= *leaf.unknown_drain_at) {
    return false;
  }
  leaf.unknown_drain_at.reset();
  return true;
}

}  // namespace

bool LeafRecord::IsOpen() const {
  return !is_leaving && !unknown_drain_at && !Contains(drained, incarnation);
}

bool LeafRecord::Has(const IndexVersion& version) const {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

LeafIndex ReplicaTable::FindOrAdd(const Endpoint& endpoint,
                                  bool is_new,
                                  TimePoint now) {
  if (const auto found = Find(endpoint)) {
    return *found;
  }
  LeafIndex index = 0;
  if (m_free.empty()) {
    index = static_cast<LeafIndex>(m_leafs.size());
    m_leafs.emplace_back();
  } else {
    index = m_free.back();
    m_free.pop_back();
  }
  LeafRecord& leaf = m_leafs[index];
  leaf = LeafRecord{};
  leaf.endpoint = endpoint;
  leaf.is_used = true;
  if (is_new) {
    leaf.cold_since = now;
  }
  m_by_endpoint[endpoint] = index;
  return index;
}

std::optional<LeafIndex> ReplicaTable::Find(const Endpoint& endpoint) const {
  const auto found = m_by_endpoint.find(endpoint);
  if (found == m_by_endpoint.end()) {
    return std::nullopt;
  }
  return found->second;
}

void ReplicaTable::SetLeaving(const std::set<Endpoint>& leaving) {
  for (LeafRecord& leaf : m_leafs) {
    leaf.is_leaving = leaving.contains(leaf.endpoint);
  }
}

std::vector<LeafIndex> ReplicaTable::RemoveUnused() {
  std::vector<LeafIndex> removed;
  for (LeafIndex index = 0; index < m_leafs.size(); ++index) {
    LeafRecord& leaf = m_leafs[index];
    if (leaf.is_used && leaf.serves.empty() && leaf.in_flight == 0) {
      m_by_endpoint.erase(leaf.endpoint);
      leaf = LeafRecord{};
      m_free.push_back(index);
      removed.push_back(index);
    }
  }
  return removed;
}

bool ReplicaTable::HasLeafWithoutStatus() const {
  return std::any_of(m_leafs.begin(), m_leafs.end(),
                     [](const LeafRecord& leaf) {
                       return leaf.is_used && !leaf.has_status_result;
                     });
}

bool ReplicaTable::HasRecentVersionChange(TimePoint now) const {
  return m_versions_changed_at != TimePoint{} &&
         now - m_versions_changed_at < kVersionChangeWindow;
}

bool ReplicaTable::OnStatus(LeafIndex index,
                            const std::optional<LeafStatus>& status,
                            TimePoint now) {
  m_leafs[index].has_status_result = true;
  if (!status) {
    return OnReachable(index, false);
  }
  LeafRecord& leaf = m_leafs[index];
  bool has_changed = OnReachable(index, true);
  has_changed |= OnIncarnation(index, status->incarnation, now, now);
  leaf.reported_load = status->reported_load;
  if (leaf.versions != status->versions) {
    m_versions_changed_at = leaf.versions.empty() ? m_versions_changed_at : now;
    leaf.versions = status->versions;
    has_changed = true;
  }
  return has_changed;
}

bool ReplicaTable::OnVersionMissing(LeafIndex index,
                                    const IndexVersion& version,
                                    TimePoint now) {
  const bool has_changed = std::erase(m_leafs[index].versions, version) > 0;
  m_versions_changed_at = has_changed ? now : m_versions_changed_at;
  return has_changed;
}

bool ReplicaTable::OnReachable(LeafIndex index, bool is_reachable) {
  LeafRecord& leaf = m_leafs[index];
  const bool has_changed = leaf.is_reachable != is_reachable;
  leaf.is_reachable = is_reachable;
  return has_changed;
}

bool ReplicaTable::OnIncarnation(LeafIndex index,
                                 const std::string& incarnation,
                                 TimePoint sent,
                                 TimePoint now) {
  LeafRecord& leaf = m_leafs[index];
  if (incarnation.empty()) {
    return false;
  }
  if (incarnation == leaf.incarnation) {
    return ClearStaleUnknownDrain(leaf, sent);
  }
  // Late answers and stale statuses can carry an earlier incarnation.
  const bool is_restart = !leaf.incarnation.empty();
  if (is_restart && (sent < leaf.incarnation_since ||
                     Contains(leaf.past_incarnations, incarnation))) {
    return false;
  }
  if (is_restart) {
    Append(leaf.past_incarnations, leaf.incarnation);
  }
  leaf.incarnation = incarnation;
  leaf.incarnation_since = now;
  leaf.unknown_drain_at.reset();
  if (is_restart) {
    leaf.cold_since = now;
    leaf.latency = Duration::zero();
    leaf.failures_in_row = 0;
  }
  return true;
}

bool ReplicaTable::OnDrain(LeafIndex index,
                           const std::string& incarnation,
                           TimePoint now) {
  LeafRecord& leaf = m_leafs[index];
  if (leaf.incarnation.empty()) {
    leaf.incarnation = incarnation;
  }
  if (Contains(leaf.drained, incarnation)) {
    return false;
  }
  Append(leaf.drained, incarnation);
  const bool is_known = incarnation == leaf.incarnation ||
                        Contains(leaf.past_incarnations, incarnation);
  if (!is_known) {
    leaf.unknown_drain_at = now;
  }
  return true;
}

}  // namespace bramleyspoke
