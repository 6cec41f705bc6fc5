#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "base/time.h"
#include "stand_in/leaf_config.h"
#include "stand_in/leaf_faults.h"

namespace bramleyspoke::StandIn {

/// How long a leaf's attempts take, drawn from its seed.
class ServiceTime {
 public:
  /// `config` and `faults` must outlive it.
  ServiceTime(const LeafConfig& config, const LeafFaults& faults);

  /// The leaf is cold from now on.
  void Start(TimePoint now) { m_started = now; }
  /// Time in a slot of the next attempt.
  Duration Next(TimePoint now);
  /// Expected time until an attempt is answered that `ahead` others precede,
  /// with `running` in the slots.
  Duration Expected(TimePoint now,
                    std::uint32_t running,
                    std::size_t ahead) const;
  /// Evenly spread over 0 to 1.
  double Fraction();

 private:
  double Factor(TimePoint now) const;

  const LeafConfig& m_config;
  const LeafFaults& m_faults;
  std::mt19937_64 m_random;
  TimePoint m_started;
};

}  // namespace bramleyspoke::StandIn
