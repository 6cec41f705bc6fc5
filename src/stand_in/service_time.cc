#include "stand_in/service_time.h"

namespace bramleyspoke::StandIn {
namespace {

Duration Scaled(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(
          static_cast<double>(duration.count()) * factor));
}

}  // namespace

ServiceTime::ServiceTime(const LeafConfig& config, const LeafFaults& faults)
    : m_config(config), m_faults(faults), m_random(config.seed) {}

Duration ServiceTime::Next(TimePoint now) {
  double factor = SlowdownFactor(now);
  factor *= 1 + m_config.jitter * (2 * RandomFraction() - 1);
  if (m_config.tail_share > 0 && RandomFraction() < m_config.tail_share) {
    factor *= m_config.tail_factor;
  }
  return Scaled(m_config.service_time, factor);
}

Duration ServiceTime::Expected(TimePoint now,
                               std::uint32_t running,
                               std::size_t ahead) const {
  const bool has_free_slot = running < m_config.slots;
  const double rounds =
      has_free_slot ? 1 : 1 + static_cast<double>(ahead + 1) / m_config.slots;
  return Scaled(m_config.service_time, rounds * SlowdownFactor(now)) +
         m_config.latency;
}

double ServiceTime::RandomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

double ServiceTime::SlowdownFactor(TimePoint now) const {
  const bool is_cold = now < m_started + m_config.cold_time;
  return m_faults.SlowFactor() * (is_cold ? m_config.cold_factor : 1);
}

}  // namespace bramleyspoke::StandIn
