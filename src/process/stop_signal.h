#pragma once

#include <functional>
#include <memory>

namespace bramleyspoke {

class EventLoop;

/// Calls back on SIGTERM and SIGINT; destroying it ends that.
class StopSignal {
 public:
  static std::unique_ptr<StopSignal> Create(EventLoop& loop,
                                            std::function<void()> on_signal);
  virtual ~StopSignal() = default;
};

/// Calls back on SIGHUP; destroying it ends that.
class ReloadSignal {
 public:
  static std::unique_ptr<ReloadSignal> Create(EventLoop& loop,
                                              std::function<void()> on_signal);
  virtual ~ReloadSignal() = default;
};

}  // namespace bramleyspoke
