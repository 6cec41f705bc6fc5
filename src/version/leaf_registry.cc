#include "version/leaf_registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bramleyspoke {

bool LeafRegistry::Put(LeafRegistration leaf, TimePoint) {
  // An address belongs to whoever registered it last.
  bool is_changed = std::erase_if(m_leafs, [&](const auto& row) {
                      return row.second.leaf.address == leaf.address &&
                             row.first != leaf.id &&
                             row.second.kept_until.has_value();
                    }) > 0;
  Entry& entry = m_leafs[leaf.id];
  is_changed = is_changed || entry.leaf != leaf || entry.kept_until;
  entry.leaf = std::move(leaf);
  entry.kept_until.reset();
  return is_changed;
}

bool LeafRegistry::Remove(const std::string& id, TimePoint now) {
  const auto found = m_leafs.find(id);
  if (found == m_leafs.end()) {
    return false;
  }
  if (!IsUnsettled(now)) {
    m_leafs.erase(found);
    return true;
  }
  if (!found->second.kept_until) {
    const TimePoint since = m_is_store_lost ? now : *m_store_back_at;
    found->second.kept_until = since + kReturnTime;
  }
  return false;
}

bool LeafRegistry::RetainOnly(const std::vector<std::string>& present,
                              TimePoint now) {
  const std::set<std::string> kept(present.begin(), present.end());
  std::vector<std::string> gone;
  for (const auto& [id, entry] : m_leafs) {
    if (!kept.contains(id)) {
      gone.push_back(id);
    }
  }
  bool is_changed = false;
  for (const std::string& id : gone) {
    is_changed = Remove(id, now) || is_changed;
  }
  return is_changed;
}

bool LeafRegistry::Settle(TimePoint now) {
  if (m_is_store_lost) {
    return false;
  }
  return std::erase_if(m_leafs, [&](const auto& row) {
           return row.second.kept_until && *row.second.kept_until <= now;
         }) > 0;
}

void LeafRegistry::OnStoreLost() {
  m_is_store_lost = true;
}

void LeafRegistry::OnStoreBack(TimePoint now) {
  if (!std::exchange(m_is_store_lost, false)) {
    return;
  }
  m_store_back_at = now;
  for (auto& [id, entry] : m_leafs) {
    if (entry.kept_until) {
      entry.kept_until = now + kReturnTime;
    }
  }
}

std::optional<TimePoint> LeafRegistry::NextSettle() const {
  std::optional<TimePoint> next;
  for (const auto& [id, entry] : m_leafs) {
    if (entry.kept_until && (!next || *entry.kept_until < *next)) {
      next = entry.kept_until;
    }
  }
  return m_is_store_lost ? std::nullopt : next;
}

std::vector<LeafRegistration> LeafRegistry::Leafs() const {
  std::vector<LeafRegistration> leafs;
  leafs.reserve(m_leafs.size());
  for (const auto& [id, entry] : m_leafs) {
    leafs.push_back(entry.leaf);
  }
  return leafs;
}

bool LeafRegistry::IsUnsettled(TimePoint now) const {
  return m_is_store_lost ||
         (m_store_back_at && now < *m_store_back_at + kReturnTime);
}

}  // namespace bramleyspoke
