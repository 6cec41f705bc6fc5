#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "connection/backend_server.h"

namespace bramleyspoke {

/// Merges the hits of all shards, ordered by score, then by id.
///
/// Keeps at most `limit` hits. If these exceed the size limit of an answer,
/// that is reported; no hits are dropped for it.
class AnswerMerger {
 public:
  AnswerMerger(std::uint32_t limit, std::size_t max_bytes)
      : m_limit(limit), m_max_bytes(max_bytes) {}

  /// Adds hits; false if the kept hits exceed the size limit.
  bool Add(std::vector<Hit> hits);
  /// Removes and returns all kept hits, best first.
  std::vector<Hit> Take();
  std::size_t Bytes() const { return m_bytes; }

 private:
  std::uint32_t m_limit;
  std::size_t m_max_bytes;
  std::size_t m_bytes = 0;
  std::vector<Hit> m_hits;
};

}  // namespace bramleyspoke
