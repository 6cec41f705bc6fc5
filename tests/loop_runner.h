#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <utility>

#include "connection/event_loop.h"

namespace bramleyspoke {

/// Running event loop for tests that wait for the result of each call.
class LoopRunner {
 public:
  LoopRunner() : m_loop(EventLoop::Create()) { m_loop->Start(); }
  ~LoopRunner() { m_loop->Stop(); }

  EventLoop& Loop() { return *m_loop; }

  /// Runs `call` on the loop and returns its result.
  template <typename Call>
  auto Run(Call call) {
    std::packaged_task<decltype(call())()> task(std::move(call));
    auto result = task.get_future();
    m_loop->Post([&task] { task(); });
    return result.get();
  }

  /// Runs `start` on the loop and waits for the value passed to its callback.
  template <typename T>
  T Await(std::function<void(std::function<void(T)>)> start) {
    auto promise = std::make_shared<std::promise<T>>();
    m_loop->Post([promise, &start] {
      start([promise](T value) { promise->set_value(std::move(value)); });
    });
    return promise->get_future().get();
  }

 private:
  std::unique_ptr<EventLoop> m_loop;
};

}  // namespace bramleyspoke
