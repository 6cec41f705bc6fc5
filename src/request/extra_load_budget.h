#pragma once

#include <cstdint>

namespace bramleyspoke {

/// Tokens for attempts beyond the needed ones: hedges and retries share them.
class ExtraLoadBudget {
 public:
  /// Tokens that may be saved up, so the most that come at once.
  static constexpr double kBurst = 20;

  void SetPercent(double percent);
  /// An attempt that the query needs was sent.
  void OnNeeded();
  /// A token for a retry; false when there is none.
  bool TakeForRetry();
  /// A token for a hedge, which leaves some for retries.
  bool TakeForHedge();
  /// Gives back the token of an attempt that reached no leaf.
  void Return();

  double Tokens() const { return m_tokens; }

 private:
  bool Take(double least);

  double m_share = 0;
  double m_burst = 0;
  double m_tokens = 0;
};

}  // namespace bramleyspoke
