#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace bramleyspoke {

/// Time that a leaf or daemon needs at most to register again once the store is
/// available.
inline constexpr Duration kReregistrationGrace =
    std::chrono::milliseconds(2200);

/// Registrations of leafs or daemons, as last read from the store.
///
/// While the store is unavailable, registrations expire although their owners
/// are alive. An entry removed during an outage, or within
/// `kReregistrationGrace` after it, is therefore kept until its owner has had
/// time to register again. `Value` has an `address`: a new entry replaces a
/// kept one with the same address.
template <typename Value>
class EntryRegistry {
 public:
  // `Put`, `Remove`, `RetainOnly` and `RemoveExpired` return whether the
  // entries changed; the start of a grace period does not count as a change.

  /// Adds or replaces the entry; ends its grace period if it is in one.
  bool Put(const std::string& key, Value value);
  /// Removes the entry, or starts its grace period if one applies.
  bool Remove(const std::string& key, TimePoint now);
  /// Calls `Remove` for each entry whose key is not in `present`.
  bool RetainOnly(const std::set<std::string>& present, TimePoint now);
  /// Removes the kept entries whose grace period is over.
  bool RemoveExpired(TimePoint now);

  void OnStoreUnavailable() { m_is_store_unavailable = true; }
  void OnStoreAvailable(TimePoint now);

  /// Time at which the next grace period ends; empty if no entry is kept or the
  /// store is unavailable.
  std::optional<TimePoint> NextExpiry() const;
  /// Value under `key`; null if there is none.
  const Value* Find(const std::string& key) const;
  std::vector<Value> Values() const;
  std::vector<std::pair<std::string, Value>> Rows() const;
  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    Value value;
    /// End of the grace period; set if the entry is no longer in the store.
    std::optional<TimePoint> expires_at;
  };

  bool IsInGracePeriod(TimePoint now) const;

  std::map<std::string, Entry> m_entries;
  bool m_is_store_unavailable = false;
  std::optional<TimePoint> m_store_available_at;
};

template <typename Value>
bool EntryRegistry<Value>::Put(const std::string& key, Value value) {
  bool is_changed = std::erase_if(m_entries, [&](const auto& row) {
                      return row.second.value.address == value.address &&
                             row.first != key &&
                             row.second.expires_at.has_value();
                    }) > 0;
  Entry& entry = m_entries[key];
  is_changed = is_changed || entry.value != value || entry.expires_at;
  entry.value = std::move(value);
  entry.expires_at.reset();
  return is_changed;
}

template <typename Value>
bool EntryRegistry<Value>::Remove(const std::string& key, TimePoint now) {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    return false;
  }
  if (!IsInGracePeriod(now)) {
    m_entries.erase(found);
    return true;
  }
  if (!found->second.expires_at) {
    const TimePoint since =
        m_is_store_unavailable ? now : *m_store_available_at;
    found->second.expires_at = since + kReregistrationGrace;
  }
  return false;
}

template <typename Value>
bool EntryRegistry<Value>::RetainOnly(const std::set<std::string>& present,
                                      TimePoint now) {
  std::vector<std::string> absent;
  for (const auto& row : m_entries) {
    if (!present.contains(row.first)) {
      absent.push_back(row.first);
    }
  }
  bool is_changed = false;
  for (const std::string& key : absent) {
    is_changed = Remove(key, now) || is_changed;
  }
  return is_changed;
}

template <typename Value>
bool EntryRegistry<Value>::RemoveExpired(TimePoint now) {
  if (m_is_store_unavailable) {
    return false;
  }
  return std::erase_if(m_entries, [&](const auto& row) {
           return row.second.expires_at && *row.second.expires_at <= now;
         }) > 0;
}

template <typename Value>
void EntryRegistry<Value>::OnStoreAvailable(TimePoint now) {
  if (!std::exchange(m_is_store_unavailable, false)) {
    return;
  }
  m_store_available_at = now;
  for (auto& row : m_entries) {
    if (row.second.expires_at) {
      row.second.expires_at = now + kReregistrationGrace;
    }
  }
}

template <typename Value>
std::optional<TimePoint> EntryRegistry<Value>::NextExpiry() const {
  std::optional<TimePoint> next;
  for (const auto& row : m_entries) {
    const std::optional<TimePoint>& expires_at = row.second.expires_at;
    if (expires_at && (!next || *expires_at < *next)) {
      next = expires_at;
    }
  }
  return m_is_store_unavailable ? std::nullopt : next;
}

template <typename Value>
const Value* EntryRegistry<Value>::Find(const std::string& key) const {
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? nullptr : &found->second.value;
}

template <typename Value>
std::vector<Value> EntryRegistry<Value>::Values() const {
  std::vector<Value> values;
  values.reserve(m_entries.size());
  for (const auto& row : m_entries) {
    values.push_back(row.second.value);
  }
  return values;
}

template <typename Value>
std::vector<std::pair<std::string, Value>> EntryRegistry<Value>::Rows() const {
  std::vector<std::pair<std::string, Value>> rows;
  rows.reserve(m_entries.size());
  for (const auto& row : m_entries) {
    rows.emplace_back(row.first, row.second.value);
  }
  return rows;
}

template <typename Value>
bool EntryRegistry<Value>::IsInGracePeriod(TimePoint now) const {
  return m_is_store_unavailable ||
         (m_store_available_at &&
          now < *m_store_available_at + kReregistrationGrace);
}

}  // namespace bramleyspoke
