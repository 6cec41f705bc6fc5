#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "base/time.h"
#include "connection/event_loop.h"

namespace bramleyspoke::StandIn {

/// Queues callbacks while frozen, to simulate a stopped process.
class FreezeGate {
 public:
  explicit FreezeGate(EventLoop& loop) : m_loop(loop) {}

  /// Runs `call` now, or when the freeze ends.
  void RunOrQueue(std::function<void()> call);
  /// Freezes for `time`; 0 means until `Thaw`.
  void Freeze(Duration time);
  void Thaw();
  /// Ends the freeze and discards the queued callbacks.
  void Drop();

 private:
  EventLoop& m_loop;
  bool m_is_frozen = false;
  std::deque<std::function<void()>> m_queued;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace bramleyspoke::StandIn
