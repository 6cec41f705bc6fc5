#pragma once

#include <functional>
#include <memory>

namespace bramleyspoke {

class EventLoop;

/// Handles SIGTERM and SIGINT: calls `on_signal` on each one until destroyed.
class StopSignal {
 public:
  static std::unique_ptr<StopSignal> Create(EventLoop& loop,
                                            std::function<void()> on_signal);
  virtual ~StopSignal() = default;
};

/// Handles SIGHUP: calls `on_signal` on each one until destroyed.
class ReloadSignal {
 public:
  static std::unique_ptr<ReloadSignal> Create(EventLoop& loop,
                                              std::function<void()> on_signal);
  virtual ~ReloadSignal() = default;
};

}  // namespace bramleyspoke
