#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace bramleyspoke {

/// Time that who registers itself needs to do so again once the store is back.
inline constexpr Duration kReturnTime = std::chrono::milliseconds(2200);

/// What leafs or daemons say of themselves, as the store last told it.
///
/// While the store is away, entries lapse though their writers live. One that
/// vanishes then, or shortly after, is therefore kept until its writer has had
/// time to write it again. `Value` has an `address`, which belongs to whoever
/// wrote it last.
template <typename Value>
class EntryRegistry {
 public:
  /// Each returns whether the values changed.
  bool Put(const std::string& key, Value value);
  bool Remove(const std::string& key, TimePoint now);
  /// Drops whatever is not in `present`.
  bool RetainOnly(const std::set<std::string>& present, TimePoint now);
  /// Drops kept entries whose time has come.
  bool RemoveExpired(TimePoint now);

  void OnStoreUnavailable() { m_is_store_lost = true; }
  void OnStoreAvailable(TimePoint now);

  /// When `RemoveExpired` is due next.
  std::optional<TimePoint> NextExpiry() const;
  /// Null if there is none.
  const Value* Find(const std::string& key) const;
  std::vector<Value> Values() const;
  std::vector<std::pair<std::string, Value>> Rows() const;
  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    Value value;
    /// Set if the store no longer has it.
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
bool EntryRegistry<Value>::RemoveExpired(TimePoint now) {
  if (m_is_store_lost) {
    return false;
  }
  return std::erase_if(m_entries, [&](const auto& row) {
           return row.second.kept_until && *row.second.kept_until <= now;
         }) > 0;
}

template <typename Value>
void EntryRegistry<Value>::OnStoreAvailable(TimePoint now) {
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
std::optional<TimePoint> EntryRegistry<Value>::NextExpiry() const {
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
