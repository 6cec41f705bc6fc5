#include "process/control_runtime.h"

#include <algorithm>
#include <caf/all.hpp>
#include <caf/scheduler/test_coordinator.hpp>

namespace bramleyspoke {
namespace {

// Less than `pause_gap`, so that a step does not count as a pause.
constexpr Duration kStep = std::chrono::milliseconds(50);

class ThreadRuntime final : public ControlRuntime {
 public:
  ThreadRuntime() : m_system(m_config) {}

  void Advance(Duration /*duration*/) override {}
  void Jump(Duration /*duration*/) override {}
  bool HasManualClock() const override { return false; }
  caf::actor_system& System() override { return m_system; }

 private:
  struct Config : caf::actor_system_config {
    Config() {
      set("scheduler.max-threads", std::size_t{1});
      // The default policy, work stealing, polls many times a second while
      // idle.
      set("scheduler.policy", caf::atom("sharing"));
    }
  };

  Config m_config;
  caf::actor_system m_system;
};

class ManualClockRuntime final : public ControlRuntime {
 public:
  ManualClockRuntime() : m_system(m_config) {}

  void Advance(Duration duration) override {
    Scheduler().run();
    for (Duration done{0}; done < duration; done += kStep) {
      Scheduler().clock().advance_time(std::min(kStep, duration - done));
      Scheduler().run();
    }
  }
  void Jump(Duration duration) override {
    Scheduler().clock().advance_time(duration);
    Scheduler().run();
  }
  bool HasManualClock() const override { return true; }
  caf::actor_system& System() override { return m_system; }

 private:
  struct Config : caf::actor_system_config {
    Config() { set("scheduler.policy", caf::atom("testing")); }
  };

  caf::scheduler::test_coordinator& Scheduler() {
    return dynamic_cast<caf::scheduler::test_coordinator&>(
        m_system.scheduler());
  }

  Config m_config;
  caf::actor_system m_system;
};

}  // namespace

std::unique_ptr<ControlRuntime> ControlRuntime::Create() {
  return std::make_unique<ThreadRuntime>();
}

std::unique_ptr<ControlRuntime> ControlRuntime::CreateWithManualClock() {
  return std::make_unique<ManualClockRuntime>();
}

}  // namespace bramleyspoke
