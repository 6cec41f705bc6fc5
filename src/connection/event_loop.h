#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/time.h"

namespace boost::asio {
class io_context;
}

namespace bramleyspoke {

/// A pending call; destroying it cancels the call.
class Timer {
 public:
  virtual ~Timer() = default;
};

/// Runs sockets, timers and posted calls on one thread.
class EventLoop {
 public:
  static std::unique_ptr<EventLoop> Create();
  virtual ~EventLoop() = default;

  /// Queues `call` to run on the loop's thread; callable from any thread.
  virtual void Post(std::function<void()> call) = 0;
  /// Schedules `call` on the loop's thread for `when`; callable from the loop's
  /// thread only.
  [[nodiscard]] virtual std::unique_ptr<Timer> At(
      TimePoint when,
      std::function<void()> call) = 0;
  /// Starts the loop's thread.
  virtual void Start() = 0;
  /// Runs the loop on the calling thread until `Stop`.
  virtual void Run() = 0;
  /// Stops the loop and joins its thread, if it has one; callable from any
  /// other thread.
  virtual void Stop() = 0;
  virtual boost::asio::io_context& Context() = 0;
};

}  // namespace bramleyspoke
