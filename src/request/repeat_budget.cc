#include "request/repeat_budget.h"

#include <algorithm>

namespace bramleyspoke {

RepeatBudget::RepeatBudget(const RepeatAllowance& allowance,
                           std::size_t daemons)
    : m_allowance(allowance), m_daemons(std::max<std::size_t>(daemons, 1)) {
  m_tokens = Most() * kStartShare;
}

void RepeatBudget::SetDaemons(std::size_t daemons) {
  m_daemons = std::max<std::size_t>(daemons, 1);
  m_tokens = std::min(m_tokens, Most());
}

void RepeatBudget::OnRequest(double share) {
  // Even with a capacity below one token, what requests earn can be spent.
  const double most = std::max(1 + kRetryReserve, Most());
  m_tokens = std::min(most, m_tokens + m_allowance.ratio * kRatioUse * share);
}

bool RepeatBudget::TakeForRetry() {
  return Take(0);
}

bool RepeatBudget::TakeForHedge() {
  return Take(kRetryReserve);
}

double RepeatBudget::Most() const {
  const double share = m_allowance.slack / static_cast<double>(m_daemons);
  return share * kSlackUse;
}

bool RepeatBudget::Take(double floor) {
  if (m_tokens < floor + 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace bramleyspoke
