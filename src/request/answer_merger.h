#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "connection/backend_server.h"

namespace bramleyspoke {

/// Merges the hits of shards: the best by score, then by id.
///
/// Holds no more hits than were asked for; when these take more bytes than
/// an answer may have, says so instead of leaving any out.
class AnswerMerger {
 public:
  AnswerMerger(std::uint32_t limit, std::size_t max_bytes)
      : m_limit(limit), m_max_bytes(max_bytes) {}

  /// False if the hits held are too large for an answer.
  bool Add(std::vector<Hit> hits);
  /// All hits, best first; leaves none.
  std::vector<Hit> Take();
  std::size_t Bytes() const { return m_bytes; }

 private:
  std::uint32_t m_limit;
  std::size_t m_max_bytes;
  std::size_t m_bytes = 0;
  std::vector<Hit> m_hits;
};

}  // namespace bramleyspoke
