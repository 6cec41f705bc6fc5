#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bramleyspoke {

/// Queue of updates, by key, that are each gossiped a bounded number of times.
/// Updates sent least often come first.
template <typename Key>
class DisseminationQueue {
 public:
  /// Adds `key`, or resets its send count.
  void Add(const Key& key) {
    Remove(key);
    const Place place{0, m_next_number++};
    m_places.emplace(key, place);
    m_order.emplace(place, key);
  }

  void Remove(const Key& key) {
    const auto found = m_places.find(key);
    if (found != m_places.end()) {
      m_order.erase(found->second);
      m_places.erase(found);
    }
  }

  /// Returns up to `count` keys and counts each as sent; a key is removed once
  /// it was sent `limit` times.
  std::vector<Key> Take(std::size_t count, std::size_t limit) {
    std::vector<Key> taken;
    while (taken.size() < count && taken.size() < m_order.size()) {
      taken.push_back(std::next(m_order.begin(), taken.size())->second);
    }
    for (const Key& key : taken) {
      Count(key, limit);
    }
    return taken;
  }

  std::size_t Size() const { return m_places.size(); }

 private:
  struct Place {
    std::size_t sent = 0;
    std::uint64_t number = 0;

    bool operator<(const Place& other) const {
      return sent != other.sent ? sent < other.sent : number < other.number;
    }
  };

  void Count(const Key& key, std::size_t limit) {
    const auto found = m_places.find(key);
    m_order.erase(found->second);
    if (++found->second.sent >= limit) {
      m_places.erase(found);
      return;
    }
    m_order.emplace(found->second, key);
  }

  std::uint64_t m_next_number = 0;
  std::map<Key, Place> m_places;
  std::map<Place, Key> m_order;
};

}  // namespace bramleyspoke
