#include "stand_in/key_value_table.h"

#include <utility>

namespace bramleyspoke::StandIn {
namespace {

constexpr std::size_t kMaxHistoryChanges = 1000;

}  // namespace

std::int64_t KeyValueTable::OldestRevision() const {
  return m_history.size() < kMaxHistoryChanges ? 0
                                               : m_history.front().mod_revision;
}

std::optional<KeyValue> KeyValueTable::Find(const std::string& key) const {
  const auto found = m_keys.find(key);
  return found == m_keys.end() ? std::nullopt : std::optional(found->second);
}

std::vector<KeyValue> KeyValueTable::Range(const std::string& key,
                                           const std::string& end) const {
  std::vector<KeyValue> found;
  for (auto it = m_keys.lower_bound(key); it != m_keys.end(); ++it) {
    const bool is_within = end.empty() ? it->first == key : it->first < end;
    if (!is_within) {
      break;
    }
    found.push_back(it->second);
  }
  return found;
}

KeyValue KeyValueTable::Put(const std::string& key, std::string value) {
  ++m_revision;
  KeyValue& entry = m_keys[key];
  if (entry.version == 0) {
    entry.key = key;
    entry.create_revision = m_revision;
  }
  entry.value = std::move(value);
  entry.mod_revision = m_revision;
  ++entry.version;
  m_history.push_back(entry);
  if (m_history.size() > kMaxHistoryChanges) {
    m_history.pop_front();
  }
  return entry;
}

std::vector<KeyValue> KeyValueTable::ChangesOf(const std::string& key,
                                               std::int64_t revision) const {
  std::vector<KeyValue> changes;
  for (const KeyValue& change : m_history) {
    if (change.key == key && change.mod_revision >= revision) {
      changes.push_back(change);
    }
  }
  return changes;
}

}  // namespace bramleyspoke::StandIn
