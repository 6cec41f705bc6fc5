#pragma once

#include "base/time.h"

namespace bramleyspoke {

/// Share of a leaf's recent attempts that had a certain outcome, from 0 to 1.
///
/// Each attempt has a fixed weight against the earlier ones. Without attempts
/// the share decays, so that a leaf that gets few is tried again in time.
class OutcomeShare {
 public:
  /// `weight` is that of a new attempt; the share decays to about a third in
  /// `decay_time`.
  OutcomeShare(double weight, Duration decay_time)
      : m_weight(weight), m_decay_time(decay_time) {}

  /// Records an attempt and whether it had the outcome.
  void Record(bool has_outcome, TimePoint now);
  double At(TimePoint now) const;
  void Reset() { m_share = 0; }

 private:
  double m_weight;
  Duration m_decay_time;
  double m_share = 0;
  TimePoint m_recorded_at;
};

}  // namespace bramleyspoke
