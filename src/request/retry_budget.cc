#include "request/retry_budget.h"

#include <algorithm>

namespace bramleyspoke {

RetryBudget::RetryBudget(const RetryAllowance& allowance, std::size_t daemons)
    : m_allowance(allowance) {
  SetDaemons(daemons);
}

void RetryBudget::SetDaemons(std::size_t daemons) {
  const bool was_known = m_daemons > 0;
  m_daemons = daemons;
  if (!was_known) {
    m_tokens = std::max(m_tokens, Capacity() * kInitialFraction);
  } else {
    m_tokens = std::min(m_tokens, Capacity());
  }
}

void RetryBudget::OnRequest(double share) {
  // At least enough for one hedge, so that the tokens added by requests can be
  // used even if the capacity is lower.
  const double limit = std::max(1 + kRetryReserve, Capacity());
  m_tokens =
      std::min(limit, m_tokens + m_allowance.ratio * kRatioFraction * share);
}

bool RetryBudget::TakeForRetry() {
  return TakeToken(0);
}

bool RetryBudget::TakeForHedge() {
  return TakeToken(kRetryReserve);
}

double RetryBudget::Capacity() const {
  if (m_daemons == 0) {
    return 0;
  }
  const double share = m_allowance.slack / static_cast<double>(m_daemons);
  return share * kSlackFraction;
}

bool RetryBudget::TakeToken(double floor) {
  if (m_tokens < floor + 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace bramleyspoke
