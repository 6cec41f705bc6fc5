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
      m_crash_ms = fault.number;
      break;
    case LeafFaultKind::kRefuse:
      m_refusal = ParseLeafReason(fault.text).value_or(LeafReason::kOther);
      break;
    case LeafFaultKind::kShed:
      m_shed_share = fault.number;
      break;
    case LeafFaultKind::kLieLoad:
      m_load_lie = fault.number;
      break;
    case LeafFaultKind::kLieStatus:
      m_status_lie = fault.text;
      break;
    case LeafFaultKind::kPartial:
      m_covered = fault.number;
      break;
    case LeafFaultKind::kDropAnswer:
    case LeafFaultKind::kHalfAnswer:
    case LeafFaultKind::kWrongId:
    case LeafFaultKind::kWrongEcho:
    case LeafFaultKind::kLateAnswer:
      m_spoil = fault;
      m_spoiled = 0;
      break;
    default:
      break;
  }
}

bool LeafFaults::Crashes(const std::string& query) const {
  return !m_crash_query.empty() &&
         query.find(m_crash_query) != std::string::npos;
}

Duration LeafFaults::CrashTime() const {
  return Milliseconds(m_crash_ms);
}

Duration LeafFaults::TakeDelay() {
  const bool is_late = m_spoil.kind == LeafFaultKind::kLateAnswer;
  return is_late && TakeAnswer() ? Milliseconds(m_spoil.number)
                                 : Duration::zero();
}

LeafFault LeafFaults::TakeSpoil() {
  const bool is_spoiled = m_spoil.kind != LeafFaultKind::kNone &&
                          m_spoil.kind != LeafFaultKind::kLateAnswer;
  return is_spoiled && TakeAnswer() ? m_spoil : LeafFault{};
}

// Counts a response as affected; false once `count` responses have been.
bool LeafFaults::TakeAnswer() {
  if (m_spoil.count > 0 && m_spoiled >= m_spoil.count) {
    return false;
  }
  ++m_spoiled;
  return true;
}

}  // namespace bramleyspoke::StandIn
