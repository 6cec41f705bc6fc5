#include "connection/transit_delay.h"

#include <algorithm>
#include <utility>

namespace bramleyspoke {

// The difference of the two times is the transit time plus an unknown constant,
// which the fastest message shows together with the shortest transit time.
Duration TransitDelay::OnMessage(Duration sent, Duration read) {
  const Duration difference = read - sent;
  if (m_shortest && read - m_window_start >= kWindow) {
    m_previous_shortest = std::exchange(m_shortest, std::nullopt);
  }
  if (!m_shortest) {
    m_window_start = read;
  }
  m_shortest = std::min(m_shortest.value_or(difference), difference);
  return difference -
         std::min(*m_shortest, m_previous_shortest.value_or(*m_shortest));
}

}  // namespace bramleyspoke
