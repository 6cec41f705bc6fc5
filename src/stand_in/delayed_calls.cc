#include "stand_in/delayed_calls.h"

#include <utility>

namespace bramleyspoke::StandIn {

void DelayedCalls::After(Duration delay, std::function<void()> call) {
  const std::uint64_t id = ++m_last_id;
  m_timers[id] = m_loop.At(std::chrono::steady_clock::now() + delay,
                           [this, id, call = std::move(call)] {
                             // The timer owns `call` and must outlive it.
                             const auto timer = m_timers.extract(id);
                             call();
                           });
}

}  // namespace bramleyspoke::StandIn
