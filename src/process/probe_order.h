#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "base/endpoint.h"
#include "process/member_table.h"

namespace bramleyspoke {

/// Members in random order, probed one after the other.
class ProbeOrder {
 public:
  /// Puts a new member at a random place among those that wait.
  void Add(const Endpoint& peer, std::mt19937_64& random);
  /// The member to probe next; empty when there is none but `self`.
  std::optional<Endpoint> Next(const MemberTable& table,
                               const Endpoint& self,
                               std::mt19937_64& random);
  /// Up to `count` different live members.
  std::vector<Endpoint> RandomLive(std::size_t count,
                                   const Endpoint& except,
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
