#pragma once

#include "base/time.h"

namespace bramleyspoke {

/// What all daemons together may send beyond the first attempts at a service.
struct RepeatAllowance {
  /// Repeats per request.
  double ratio = 0.1;
  /// Repeats in a window on top of these, whatever the requests.
  double slack = 0;
};

/// One daemon's part of a service's allowance for hedges and retries.
///
/// Daemons do not tell each other what they spend: each earns the ratio on the
/// requests it serves itself and saves up its even part of the slack. The sum
/// over all daemons stays within the allowance in any window, since savings are
/// bounded by the slack and earnings by the requests.
class RepeatBudget {
 public:
  /// Parts of the ratio and of the slack that are spent; the rest covers what
  /// this daemon does not see, such as a daemon counted too late.
  static constexpr double kRatioUse = 0.95;
  static constexpr double kSlackUse = 0.6;
  /// Part of its savings that a daemon starts with: if all start anew, what the
  /// ones before spent and this stay within the slack.
  static constexpr double kStartShare = 0.5;
  /// Savings that hedges leave to retries.
  static constexpr double kRetryReserve = 0.5;

  /// `daemons` share the allowance.
  RepeatBudget(const RepeatAllowance& allowance, std::size_t daemons);

  void SetDaemons(std::size_t daemons);
  /// A request needs this service; `share` of it is this daemon's to repeat.
  void OnRequest(double share = 1);
  bool TakeForRetry();
  bool TakeForHedge();
  double Tokens() const { return m_tokens; }

 private:
  double Most() const;
  bool Take(double floor);

  RepeatAllowance m_allowance;
  std::size_t m_daemons = 1;
  double m_tokens = 0;
};

}  // namespace bramleyspoke
