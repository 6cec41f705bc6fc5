#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "base/time.h"
#include "connection/event_loop.h"

namespace bramleyspoke::StandIn {

/// Holds calls up while frozen, as a stopped process would.
class FreezeGate {
 public:
  explicit FreezeGate(EventLoop& loop) : m_loop(loop) {}

  /// Runs `call` at once, or when the freeze ends.
  void Pass(std::function<void()> call);
  /// Freezes for `time`, or until `Thaw` when 0.
  void Freeze(Duration time);
  void Thaw();
  /// Ends the freeze and drops what is held.
  void Drop();

 private:
  EventLoop& m_loop;
  bool m_is_frozen = false;
  std::deque<std::function<void()>> m_held;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace bramleyspoke::StandIn
