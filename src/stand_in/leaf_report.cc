#include "stand_in/leaf_report.h"

#include <algorithm>

#include "connection/leaf_message.h"

namespace bramleyspoke::StandIn {

LeafReport::LeafReport(const LeafConfig& config, const LeafFaults& faults)
    : m_config(config), m_faults(faults) {}

double LeafReport::Load(TimePoint now, std::size_t attempts) {
  if (m_faults.FalseLoad()) {
    return *m_faults.FalseLoad();
  }
  if (now >= m_load_updated_at + m_config.status_lag) {
    m_load = std::min(1.0, static_cast<double>(attempts) / m_config.slots);
    m_load_updated_at = now;
  }
  return m_load;
}

std::string LeafReport::Status(TimePoint now, const LeafStatus& current) {
  if (!m_faults.FalseStatus().empty()) {
    return m_faults.FalseStatus();
  }
  if (m_status.empty() || now >= m_status_updated_at + m_config.status_lag) {
    m_status = EncodeStatus(current);
    m_status_updated_at = now;
  }
  return m_status;
}

void LeafReport::Reset() {
  m_load_updated_at = {};
  m_status.clear();
}

}  // namespace bramleyspoke::StandIn
