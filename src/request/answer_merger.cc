#include "request/answer_merger.h"

#include <algorithm>
#include <utility>

namespace bramleyspoke {
namespace {

// JSON overhead of a hit: field names, quotes and the score.
constexpr std::size_t kJsonBytesPerHit = 48;

bool IsBefore(const Hit& a, const Hit& b) {
  return a.score != b.score ? a.score > b.score : a.id < b.id;
}

std::size_t BytesOf(const Hit& hit) {
  return hit.id.size() + hit.text.size() + kJsonBytesPerHit;
}

}  // namespace

bool AnswerMerger::Add(std::vector<Hit> hits) {
  for (Hit& hit : hits) {
    m_bytes += BytesOf(hit);
    m_hits.push_back(std::move(hit));
  }
  if (m_hits.size() > m_limit) {
    const auto end = m_hits.begin() + m_limit;
    std::nth_element(m_hits.begin(), end, m_hits.end(), IsBefore);
    for (auto dropped = end; dropped != m_hits.end(); ++dropped) {
      m_bytes -= BytesOf(*dropped);
    }
    m_hits.erase(end, m_hits.end());
  }
  return m_bytes <= m_max_bytes;
}

std::vector<Hit> AnswerMerger::Take() {
  std::sort(m_hits.begin(), m_hits.end(), IsBefore);
  m_bytes = 0;
  return std::exchange(m_hits, {});
}

}  // namespace bramleyspoke
