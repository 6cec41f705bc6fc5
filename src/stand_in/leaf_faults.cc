#include "stand_in/leaf_faults.h"

namespace bramleyspoke::StandIn {

Duration Milliseconds(double count) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(count));
}

void LeafFaults::Apply(const LeafFault& fault) {
  switch (fault.kind) {
    case LeafFaultKind::kNone:
      *this = LeafFaults();
      break;
    case LeafFaultKind::kSlow:
      m_slow_factor = fault.number;
      break;
    case LeafFaultKind::kCrashOn:
      m_crash_query = fault.text;
      m_restart_delay_ms = fault.number;
      break;
    case LeafFaultKind::kRefuse:
      m_refusal = ParseLeafReason(fault.text).value_or(LeafReason::kOther);
      break;
    case LeafFaultKind::kShed:
      m_shed_share = fault.number;
      break;
    case LeafFaultKind::kLieLoad:
      m_false_load = fault.number;
      break;
    case LeafFaultKind::kLieStatus:
      m_false_status = fault.text;
      break;
    case LeafFaultKind::kPartial:
      m_covered = fault.number;
      break;
    case LeafFaultKind::kDropAnswer:
    case LeafFaultKind::kHalfAnswer:
    case LeafFaultKind::kWrongId:
    case LeafFaultKind::kWrongEcho:
    case LeafFaultKind::kLateAnswer:
      m_response_fault = fault;
      m_affected_responses = 0;
      break;
    default:
      break;
  }
}

bool LeafFaults::Crashes(const std::string& query) const {
  return !m_crash_query.empty() &&
         query.find(m_crash_query) != std::string::npos;
}

Duration LeafFaults::RestartDelay() const {
  return Milliseconds(m_restart_delay_ms);
}

Duration LeafFaults::NextResponseDelay() {
  const bool is_late = m_response_fault.kind == LeafFaultKind::kLateAnswer;
  return is_late && CountAffectedResponse()
             ? Milliseconds(m_response_fault.number)
             : Duration::zero();
}

LeafFault LeafFaults::NextResponseFault() {
  const bool is_affected = m_response_fault.kind != LeafFaultKind::kNone &&
                           m_response_fault.kind != LeafFaultKind::kLateAnswer;
  return is_affected && CountAffectedResponse() ? m_response_fault
                                                : LeafFault{};
}

// Counts a response as affected; false once `count` responses have been.
bool LeafFaults::CountAffectedResponse() {
  if (m_response_fault.count > 0 &&
      m_affected_responses >= m_response_fault.count) {
    return false;
  }
  ++m_affected_responses;
  return true;
}

}  // namespace bramleyspoke::StandIn
