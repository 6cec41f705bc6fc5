#include "stand_in/freeze_gate.h"

#include <utility>

namespace bramleyspoke::StandIn {

void FreezeGate::RunOrQueue(std::function<void()> call) {
  if (m_is_frozen) {
    m_queued.push_back(std::move(call));
  } else {
    call();
  }
}

void FreezeGate::Freeze(Duration time) {
  m_is_frozen = true;
  m_timer = nullptr;
  if (time > Duration::zero()) {
    m_timer =
        m_loop.At(std::chrono::steady_clock::now() + time, [this] { Thaw(); });
  }
}

void FreezeGate::Thaw() {
  m_is_frozen = false;
  m_timer = nullptr;
  // A queued callback may freeze again or drop the rest.
  while (!m_is_frozen && !m_queued.empty()) {
    const auto call = std::move(m_queued.front());
    m_queued.pop_front();
    call();
  }
}

void FreezeGate::Drop() {
  m_is_frozen = false;
  m_timer = nullptr;
  m_queued.clear();
}

}  // namespace bramleyspoke::StandIn
