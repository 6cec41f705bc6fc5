#pragma once

#include <memory>

#include "base/time.h"

namespace caf {
class actor_system;
}

namespace bramleyspoke {

/// Actor system that runs control: on one thread, or on a manual clock in
/// tests.
class ControlRuntime {
 public:
  /// Uses one worker thread and the monotonic system clock.
  static std::unique_ptr<ControlRuntime> Create();
  /// Uses no thread: actors run within `Advance`, which advances the clock.
  static std::unique_ptr<ControlRuntime> CreateWithManualClock();
  virtual ~ControlRuntime() = default;

  /// Advances a manual clock in small steps and runs due events; no effect with
  /// the system clock.
  virtual void Advance(Duration duration) = 0;
  /// Advances a manual clock in one step, as if the process had been paused; no
  /// effect with the system clock.
  virtual void Jump(Duration duration) = 0;
  virtual bool HasManualClock() const = 0;
  virtual caf::actor_system& System() = 0;
};

}  // namespace bramleyspoke
