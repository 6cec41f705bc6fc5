#pragma once

#include <memory>

#include "base/time.h"

namespace caf {
class actor_system;
}

namespace bramleyspoke {

/// The actor system that runs control: one thread, or a paused clock in tests.
class ControlRuntime {
 public:
  /// One worker thread and the machine's monotonic clock.
  static std::unique_ptr<ControlRuntime> Create();
  /// No thread: actors run within `Advance`, on a clock that it moves.
  static std::unique_ptr<ControlRuntime> CreatePaused();
  virtual ~ControlRuntime() = default;

  /// Moves a paused clock and runs what is due; no effect on a running one.
  virtual void Advance(Duration duration) = 0;
  /// Moves a paused clock at once, as a pause of the process does.
  virtual void Jump(Duration duration) = 0;
  virtual bool IsPaused() const = 0;
  virtual caf::actor_system& System() = 0;
};

}  // namespace bramleyspoke
