#pragma once

#include <cstdint>

namespace bramleyspoke {

/// Token budget that hedges and retries share.
///
/// Each needed attempt adds a fraction of a token; each hedge or retry takes
/// one.
class ExtraLoadBudget {
 public:
  /// Most tokens saved up, which limits bursts of hedges and retries.
  static constexpr double kBurst = 20;

  void SetPercent(double percent);
  /// Called when an attempt was sent that is neither a hedge nor a retry.
  void OnNeededAttempt();
  /// Takes a token for a retry; false if there is none.
  bool TakeForRetry();
  /// Takes a token for a hedge; false if only the reserve for retries is left.
  bool TakeForHedge();
  /// Returns the token of an attempt that no leaf ran.
  void ReturnToken();

  double Tokens() const { return m_tokens; }

 private:
  bool TakeToken(double min_tokens);

  double m_share = 0;
  double m_burst = 0;
  double m_tokens = 0;
};

}  // namespace bramleyspoke
