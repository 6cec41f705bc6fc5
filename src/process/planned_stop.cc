#include "process/planned_stop.h"

namespace bramleyspoke {
namespace {

// Shares of the grace period. A request that is accepted last has the time
// between the first two for its leaf's work. The third leaves time to send the
// last answers, and the rest is for the process to exit.
constexpr double kKeepServingShare = 0.5;
constexpr double kAnswerAllShare = 0.93;
constexpr double kBoundShare = 0.97;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

PlannedStopOptions PlannedStopOptions::Within(Duration grace) {
  return {Scale(grace, kKeepServingShare), Scale(grace, kAnswerAllShare),
          Scale(grace, kBoundShare)};
}

StopSchedule PlannedStop::Schedule() const {
  return {m_begun_at + m_options.keep_serving,
          m_begun_at + m_options.answer_all};
}

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
