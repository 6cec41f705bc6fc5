#pragma once

#include "base/time.h"

namespace bramleyspoke {

/// Limit on the retries and hedges of all daemons together at a service.
struct RetryAllowance {
  /// Retries and hedges per request.
  double ratio = 0.1;
  /// Additional retries and hedges in any window, independent of the number of
  /// requests.
  double slack = 0;
};

/// One daemon's part of a service's allowance for retries and hedges.
///
/// Daemons do not exchange the number of tokens they take: each adds the ratio
/// for every request that it serves itself and keeps up to an equal part of the
/// slack, but at least enough for one hedge. Except for that minimum, the sum
/// over all daemons stays within the allowance in any window, since the kept
/// tokens are bounded by the slack and the added ones by the requests.
class RetryBudget {
 public:
  /// Fractions of the ratio and of the slack that are used; the rest covers
  /// what this daemon does not see, such as a daemon that is counted too late.
  static constexpr double kRatioFraction = 0.95;
  static constexpr double kSlackFraction = 0.6;
  /// Fraction of its capacity that a daemon starts with: if all daemons
  /// restart, the tokens taken before and the initial ones together stay within
  /// the slack.
  static constexpr double kInitialFraction = 0.5;
  /// Tokens that hedges leave for retries.
  static constexpr double kRetryReserve = 0.5;

  /// `daemons` is the number of daemons that share the slack; 0 if it is not
  /// known, so that this one takes nothing of it.
  RetryBudget(const RetryAllowance& allowance, std::size_t daemons);

  void SetDaemons(std::size_t daemons);
  /// Adds tokens for a request to the service; `share` is the fraction of the
  /// request that this daemon may retry or hedge.
  void OnRequest(double share = 1);
  bool TakeForRetry();
  bool TakeForHedge();
  double Tokens() const { return m_tokens; }
  /// Tokens that one request adds.
  double TokensPerRequest() const { return m_allowance.ratio * kRatioFraction; }

 private:
  double Capacity() const;
  bool TakeToken(double floor);

  RetryAllowance m_allowance;
  std::size_t m_daemons = 0;
  double m_tokens = 0;
};

}  // namespace bramleyspoke
