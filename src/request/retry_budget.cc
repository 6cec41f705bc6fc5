#include "request/retry_budget.h"

#include <algorithm>

namespace bramleyspoke {

RetryBudget::RetryBudget(const RetryAllowance& allowance, std::size_t daemons)
    : m_allowance(allowance), m_daemons(std::max<std::size_t>(daemons, 1)) {
  m_tokens = Capacity() * kInitialFraction;
}

void RetryBudget::SetDaemons(std::size_t daemons) {
  m_daemons = std::max<std::size_t>(daemons, 1);
  m_tokens = std::min(m_tokens, Capacity());
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
