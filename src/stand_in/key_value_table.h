#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bramleyspoke::StandIn {

/// A key with its value and the revisions that etcd records for it.
struct KeyValue {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
};

/// Key-value table with revisions and a bounded history of changes.
class KeyValueTable {
 public:
  /// Revision of the last change; 1 before any change, as in etcd.
  std::int64_t Revision() const { return m_revision; }
  /// Revision of the oldest change in the history; 0 until the history is full.
  std::int64_t OldestRevision() const;
  std::optional<KeyValue> Find(const std::string& key) const;
  /// Keys in [`key`, `end`); just `key` when `end` is empty.
  std::vector<KeyValue> Range(const std::string& key,
                              const std::string& end) const;
  KeyValue Put(const std::string& key, std::string value);
  /// Changes of `key` from `revision` on, oldest first.
  std::vector<KeyValue> ChangesOf(const std::string& key,
                                  std::int64_t revision) const;

 private:
  std::map<std::string, KeyValue> m_keys;
  std::deque<KeyValue> m_history;
  std::int64_t m_revision = 1;
};

}  // namespace bramleyspoke::StandIn
