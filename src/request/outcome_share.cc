#include "request/outcome_share.h"

#include <cmath>

namespace bramleyspoke {

void OutcomeShare::Record(bool has_outcome, TimePoint now) {
  const double share = At(now);
  m_share = share + ((has_outcome ? 1 : 0) - share) * m_weight;
  m_recorded_at = now;
}

double OutcomeShare::At(TimePoint now) const {
  const double age =
      std::chrono::duration<double>(now - m_recorded_at) / m_decay_time;
  return m_share * std::exp(-age);
}

}  // namespace bramleyspoke
