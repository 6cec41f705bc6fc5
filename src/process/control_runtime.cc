#include "process/control_runtime.h"

#include <algorithm>
#include <caf/all.hpp>
#include <caf/scheduler/test_coordinator.hpp>

namespace bramleyspoke {
namespace {

// Short enough that an actor's heartbeat detects no pause.
constexpr Duration kStep = std::chrono::milliseconds(50);

class RunningRuntime final : public ControlRuntime {
 public:
  RunningRuntime() : m_system(m_config) {}

  void Advance(Duration /*duration*/) override {}
  void Jump(Duration /*duration*/) override {}
  bool IsPaused() const override { return false; }
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

class PausedRuntime final : public ControlRuntime {
 public:
  PausedRuntime() : m_system(m_config) {}

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
  bool IsPaused() const override { return true; }
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
  return std::make_unique<RunningRuntime>();
}

std::unique_ptr<ControlRuntime> ControlRuntime::CreatePaused() {
  return std::make_unique<PausedRuntime>();
}

}  // namespace bramleyspoke
