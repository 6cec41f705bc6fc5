#include "process/planned_stop.h"

namespace bramleyspoke {

void PlannedStop::Begin(TimePoint now) {
  if (m_step != StopStep::kServing) {
    return;
  }
  m_step = StopStep::kLeaving;
  m_begun_at = now;
}

StopStep PlannedStop::Update(std::size_t remaining, TimePoint now) {
  if (m_step == StopStep::kServing || m_step == StopStep::kDone) {
    return m_step;
  }
  const Duration taken = now - m_begun_at;
  if (m_step == StopStep::kLeaving && taken >= m_options.keep_serving) {
    m_step = StopStep::kFinishing;
    return m_step;
  }
  if (m_step == StopStep::kFinishing && taken >= m_options.answer_all) {
    m_step = StopStep::kSending;
    return m_step;
  }
  const bool is_over = taken >= m_options.bound;
  if (is_over || (m_step != StopStep::kLeaving && remaining == 0)) {
    m_has_cut_off = remaining > 0;
    m_step = StopStep::kDone;
  }
  return m_step;
}

}  // namespace bramleyspoke
