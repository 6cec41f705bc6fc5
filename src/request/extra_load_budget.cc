#include "request/extra_load_budget.h"

#include <algorithm>

namespace bramleyspoke {
namespace {

// Tokens reserved for retries: a hedge only reduces latency, while a retry
// preserves a shard's coverage.
constexpr double kRetryReserve = 5;
constexpr double kPercent = 100;

}  // namespace

void ExtraLoadBudget::SetPercent(double percent) {
  const bool is_first = m_burst == 0;
  m_share = percent / kPercent;
  m_burst = percent > 0 ? kBurst : 0;
  m_tokens = is_first ? m_burst : std::min(m_tokens, m_burst);
}

void ExtraLoadBudget::OnNeededAttempt() {
  m_tokens = std::min(m_burst, m_tokens + m_share);
}

bool ExtraLoadBudget::TakeForRetry() {
  return TakeToken(1);
}

bool ExtraLoadBudget::TakeForHedge() {
  return TakeToken(1 + kRetryReserve);
}

void ExtraLoadBudget::ReturnToken() {
  m_tokens = std::min(m_burst, m_tokens + 1);
}

bool ExtraLoadBudget::TakeToken(double min_tokens) {
  if (m_tokens < min_tokens) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace bramleyspoke
