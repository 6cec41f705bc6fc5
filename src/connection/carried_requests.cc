#include "connection/carried_requests.h"

#include <xxhash.h>

#include <algorithm>

// All attempts of a request have the caller's id, and a leaf may answer twice.
// If a connection carried two attempts of a request, a second answer to the
// first one could not be told from the answer to the second one.

namespace bramleyspoke {
namespace {

std::uint64_t HashOf(std::string_view request_id) {
  return XXH3_64bits(request_id.data(), request_id.size());
}

}  // namespace

void CarriedRequests::Add(std::string_view request_id,
                          TimePoint deadline,
                          TimePoint now) {
  m_is_used = true;
  if (m_ids.size() >= m_forget_at) {
    Forget(now);
  }
  m_ids.push_back(HashOf(request_id));
  m_until.push_back(deadline + kDeadlineMargin);
}

bool CarriedRequests::MayCarry(std::string_view request_id) const {
  if (request_id.empty()) {
    return !m_is_used;
  }
  return m_ids.size() < kMaxRequests &&
         std::find(m_ids.begin(), m_ids.end(), HashOf(request_id)) ==
             m_ids.end();
}

// Doubling the bound keeps the cost of a request constant. A connection that is
// full is not asked again, so those that have expired are forgotten before.
void CarriedRequests::Forget(TimePoint now) {
  std::size_t kept = 0;
  for (std::size_t index = 0; index < m_ids.size(); ++index) {
    if (m_until[index] > now) {
      m_ids[kept] = m_ids[index];
      m_until[kept] = m_until[index];
      ++kept;
    }
  }
  m_ids.resize(kept);
  m_until.resize(kept);
  m_forget_at = std::clamp(2 * kept, m_forget_at, kMaxRequests / 2);
}

}  // namespace bramleyspoke
