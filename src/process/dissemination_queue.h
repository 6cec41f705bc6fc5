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
    const Rank rank{0, m_next_number++};
    m_ranks.emplace(key, rank);
    m_order.emplace(rank, key);
  }

  void Remove(const Key& key) {
    const auto found = m_ranks.find(key);
    if (found != m_ranks.end()) {
      m_order.erase(found->second);
      m_ranks.erase(found);
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
      CountSend(key, limit);
    }
    return taken;
  }

  std::size_t Size() const { return m_ranks.size(); }

 private:
  struct Rank {
    std::size_t sent = 0;
    std::uint64_t number = 0;

    bool operator<(const Rank& other) const {
      return sent != other.sent ? sent < other.sent : number < other.number;
    }
  };

  void CountSend(const Key& key, std::size_t limit) {
    const auto found = m_ranks.find(key);
    m_order.erase(found->second);
    if (++found->second.sent >= limit) {
      m_ranks.erase(found);
      return;
    }
    m_order.emplace(found->second, key);
  }

  std::uint64_t m_next_number = 0;
  std::map<Key, Rank> m_ranks;
  std::map<Rank, Key> m_order;
};

}  // namespace bramleyspoke
