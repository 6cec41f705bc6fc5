#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "base/endpoint.h"
#include "process/member_table.h"

namespace bramleyspoke {

/// Order in which members are probed: round-robin, shuffled each round.
class ProbeOrder {
 public:
  /// Inserts a new member at a random position in the rest of the round.
  void Add(const Endpoint& peer, std::mt19937_64& random);
  /// The member to probe next; empty if there is none other than `self`.
  std::optional<Endpoint> Next(const MemberTable& table,
                               const Endpoint& self,
                               std::mt19937_64& random);
  /// Up to `count` distinct live members other than `excluded`.
  std::vector<Endpoint> RandomLive(std::size_t count,
                                   const Endpoint& excluded,
                                   const MemberTable& table,
                                   std::mt19937_64& random) const;

 private:
  void Shuffle(const MemberTable& table,
               const Endpoint& self,
               std::mt19937_64& random);

  std::vector<Endpoint> m_order;
  std::size_t m_next = 0;
};

}  // namespace bramleyspoke
