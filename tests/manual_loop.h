#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <stdexcept>
#include <utility>

#include "base/time.h"
#include "connection/event_loop.h"

namespace bramleyspoke {

/// Clock that moves only when told.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return m_now; }
  void Advance(Duration duration) { m_now += duration; }

 private:
  TimePoint m_now{std::chrono::hours(1)};
};

/// Loop without a thread: `RunAll` runs what was posted.
class ManualLoop final : public EventLoop {
 public:
  void Post(std::function<void()> call) override {
    m_calls.push_back(std::move(call));
  }
  std::unique_ptr<Timer> At(TimePoint, std::function<void()>) override {
    return nullptr;
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

 private:
  std::deque<std::function<void()>> m_calls;
};

}  // namespace bramleyspoke
