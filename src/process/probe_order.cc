#include "process/probe_order.h"

#include <algorithm>
#include <utility>

namespace bramleyspoke {
namespace {

std::size_t RandomBelow(std::size_t bound, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

}  // namespace

void ProbeOrder::Add(const Endpoint& peer, std::mt19937_64& random) {
  m_order.push_back(peer);
  const std::size_t remaining = m_order.size() - m_next;
  std::swap(m_order[m_next + RandomBelow(remaining, random)], m_order.back());
}

// Round-robin in random order, so that every member is probed within two
// rounds.
std::optional<Endpoint> ProbeOrder::Next(const MemberTable& table,
                                         const Endpoint& self,
                                         std::mt19937_64& random) {
  for (int round = 0; round < 2; ++round) {
    while (m_next < m_order.size()) {
      const Endpoint& peer = m_order[m_next++];
      const MemberUpdate* known = table.Find(peer);
      if (known != nullptr && known->state != MemberState::kDead) {
        return peer;
      }
    }
    Shuffle(table, self, random);
  }
  return std::nullopt;
}

void ProbeOrder::Shuffle(const MemberTable& table,
                         const Endpoint& self,
                         std::mt19937_64& random) {
  m_order.clear();
  m_next = 0;
  for (const MemberUpdate& member : table.All()) {
    if (member.state != MemberState::kDead && member.address.peer != self) {
      m_order.push_back(member.address.peer);
    }
  }
  std::shuffle(m_order.begin(), m_order.end(), random);
}

std::vector<Endpoint> ProbeOrder::RandomLive(std::size_t count,
                                             const Endpoint& excluded,
                                             const MemberTable& table,
                                             std::mt19937_64& random) const {
  std::vector<Endpoint> chosen;
  // The number of draws is bounded, as the order may contain many members that
  // are no longer live.
  const std::size_t max_draws = m_order.empty() ? 0 : 4 * count + 8;
  for (std::size_t i = 0; i < max_draws && chosen.size() < count; ++i) {
    const Endpoint& peer = m_order[RandomBelow(m_order.size(), random)];
    const MemberUpdate* known = table.Find(peer);
    const bool is_live = known != nullptr && IsLive(known->state);
    const bool is_chosen =
        std::find(chosen.begin(), chosen.end(), peer) != chosen.end();
    if (is_live && !is_chosen && peer != excluded) {
      chosen.push_back(peer);
    }
  }
  return chosen;
}

}  // namespace bramleyspoke
