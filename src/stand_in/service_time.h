#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "base/time.h"
#include "stand_in/leaf_config.h"
#include "stand_in/leaf_faults.h"

namespace bramleyspoke::StandIn {

/// Pseudorandom service times of a leaf's attempts.
class ServiceTime {
 public:
  /// `config` and `faults` must outlive this object.
  ServiceTime(const LeafConfig& config, const LeafFaults& faults);

  /// Starts the leaf's cold time at `now`.
  void Start(TimePoint now) { m_started = now; }
  /// Service time of the next attempt.
  Duration Next(TimePoint now);
  /// Expected time until the response to a new attempt, with `running` attempts
  /// in the slots and `ahead` in the queue.
  Duration Expected(TimePoint now,
                    std::uint32_t running,
                    std::size_t ahead) const;
  /// Random number, uniform in [0, 1).
  double RandomFraction();

 private:
  // Factor by which `kSlow` and the cold time multiply the service time.
  double SlowdownFactor(TimePoint now) const;

  const LeafConfig& m_config;
  const LeafFaults& m_faults;
  std::mt19937_64 m_random;
  TimePoint m_started;
};

}  // namespace bramleyspoke::StandIn
