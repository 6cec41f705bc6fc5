#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace bramleyspoke {

/// Time within which a leaf or daemon registers again once the store is
/// available.
inline constexpr Duration kReturnTime = std::chrono::milliseconds(2200);

/// Registrations of leafs or daemons, as last read from the store.
///
/// While the store is unavailable, registrations expire although their owners
/// are alive. An entry removed during an outage, or within `kReturnTime` after
/// it, is therefore kept until its owner has had time to register again.
/// `Value` has an `address`: a new entry replaces a kept one with the same
/// address.
template <typename Value>
class EntryRegistry {
 public:
  /// `Put`, `Remove`, `RetainOnly` and `Settle` return whether the values
  /// changed.
  bool Put(const std::string& key, Value value);
  bool Remove(const std::string& key, TimePoint now);
  /// Removes the entries whose keys are not in `present`.
  bool RetainOnly(const std::set<std::string>& present, TimePoint now);
  /// Removes the kept entries whose grace period is over.
  bool Settle(TimePoint now);

  void OnStoreLost() { m_is_store_lost = true; }
  void OnStoreBack(TimePoint now);

  /// Time at which the next grace period ends; empty if no entry is kept or the
  /// store is unavailable.
  std::optional<TimePoint> NextSettle() const;
  /// Value under `key`; null if there is none.
  const Value* Find(const std::string& key) const;
  std::vector<Value> Values() const;
  std::vector<std::pair<std::string, Value>> Rows() const;
  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    Value value;
    /// End of the grace period; set if the entry is no longer in the store.
    std::optional<TimePoint> kept_until;
  };

  bool IsUnsettled(TimePoint now) const;

  std::map<std::string, Entry> m_entries;
  bool m_is_store_lost = false;
  std::optional<TimePoint> m_store_back_at;
};

template <typename Value>
bool EntryRegistry<Value>::Put(const std::string& key, Value value) {
  bool is_changed = std::erase_if(m_entries, [&](const auto& row) {
                      return row.second.value.address == value.address &&
                             row.first != key &&
                             row.second.kept_until.has_value();
                    }) > 0;
  Entry& entry = m_entries[key];
  is_changed = is_changed || entry.value != value || entry.kept_until;
  entry.value = std::move(value);
  entry.kept_until.reset();
  return is_changed;
}

template <typename Value>
bool EntryRegistry<Value>::Remove(const std::string& key, TimePoint now) {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    return false;
  }
  if (!IsUnsettled(now)) {
    m_entries.erase(found);
    return true;
  }
  if (!found->second.kept_until) {
    const TimePoint since = m_is_store_lost ? now : *m_store_back_at;
    found->second.kept_until = since + kReturnTime;
  }
  return false;
}

template <typename Value>
bool EntryRegistry<Value>::RetainOnly(const std::set<std::string>& present,
                                      TimePoint now) {
  std::vector<std::string> gone;
  for (const auto& row : m_entries) {
    if (!present.contains(row.first)) {
      gone.push_back(row.first);
    }
  }
  bool is_changed = false;
  for (const std::string& key : gone) {
    is_changed = Remove(key, now) || is_changed;
  }
  return is_changed;
}

template <typename Value>
bool EntryRegistry<Value>::Settle(TimePoint now) {
  if (m_is_store_lost) {
    return false;
  }
  return std::erase_if(m_entries, [&](const auto& row) {
           return row.second.kept_until && *row.second.kept_until <= now;
         }) > 0;
}

template <typename Value>
void EntryRegistry<Value>::OnStoreBack(TimePoint now) {
  if (!std::exchange(m_is_store_lost, false)) {
    return;
  }
  m_store_back_at = now;
  for (auto& row : m_entries) {
    if (row.second.kept_until) {
      row.second.kept_until = now + kReturnTime;
    }
  }
}

template <typename Value>
std::optional<TimePoint> EntryRegistry<Value>::NextSettle() const {
  std::optional<TimePoint> next;
  for (const auto& row : m_entries) {
    const std::optional<TimePoint>& kept_until = row.second.kept_until;
    if (kept_until && (!next || *kept_until < *next)) {
      next = kept_until;
    }
  }
  return m_is_store_lost ? std::nullopt : next;
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
bool EntryRegistry<Value>::IsUnsettled(TimePoint now) const {
  return m_is_store_lost ||
         (m_store_back_at && now < *m_store_back_at + kReturnTime);
}

}  // namespace bramleyspoke
