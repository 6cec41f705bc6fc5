#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "base/time.h"
#include "connection/event_loop.h"

namespace bramleyspoke::StandIn {

/// Runs callbacks after a delay; the destructor cancels pending ones.
class DelayedCalls {
 public:
  explicit DelayedCalls(EventLoop& loop) : m_loop(loop) {}

  /// Must be called on the loop's thread.
  void After(Duration delay, std::function<void()> call);

 private:
  EventLoop& m_loop;
  std::uint64_t m_last_id = 0;
  std::map<std::uint64_t, std::unique_ptr<Timer>> m_timers;
};

}  // namespace bramleyspoke::StandIn
