#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <utility>

#include "base/time.h"
#include "connection/event_loop.h"

namespace bramleyspoke {

/// Clock that the test advances.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return m_now; }
  void Advance(Duration duration) { m_now += duration; }

 private:
  TimePoint m_now{std::chrono::hours(1)};
};

/// Event loop without a thread: `RunAll` runs the posted calls.
class ManualLoop final : public EventLoop {
 public:
  void Post(std::function<void()> call) override {
    m_calls.push_back(std::move(call));
  }
  std::unique_ptr<Timer> At(TimePoint when,
                            std::function<void()> call) override {
    auto timer = std::make_unique<ManualTimer>();
    m_timers.emplace(when, Waiting{timer->alive, std::move(call)});
    return timer;
  }
  void Start() override {}
  void Run() override {}
  void Stop() override {}
  boost::asio::io_context& Context() override {
    throw std::logic_error("a manual loop has no sockets");
  }

  void RunAll() {
    while (!m_calls.empty()) {
      const auto call = std::move(m_calls.front());
      m_calls.pop_front();
      call();
    }
  }

  /// Runs the earliest timer, whatever its time; returns false if there is
  /// none.
  bool RunNextTimer() {
    while (!m_timers.empty()) {
      const Waiting next = std::move(m_timers.begin()->second);
      m_timers.erase(m_timers.begin());
      if (!next.alive.expired()) {
        next.call();
        return true;
      }
    }
    return false;
  }

  /// Runs the timers that are due at `now`.
  void RunTimersUntil(TimePoint now) {
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
      const Waiting next = std::move(m_timers.begin()->second);
      m_timers.erase(m_timers.begin());
      if (!next.alive.expired()) {
        next.call();
      }
    }
  }

 private:
  struct ManualTimer final : Timer {
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  };
  struct Waiting {
    std::weak_ptr<bool> alive;
    std::function<void()> call;
  };

  std::deque<std::function<void()>> m_calls;
  std::multimap<TimePoint, Waiting> m_timers;
};

}  // namespace bramleyspoke
