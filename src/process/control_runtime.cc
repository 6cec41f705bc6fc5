#include "process/control_runtime.h"

#include <caf/all.hpp>
#include <caf/scheduler/test_coordinator.hpp>

namespace bramleyspoke {
namespace {

// Small enough that an actor's heartbeat sees no gap.
constexpr Duration kStep = std::chrono::milliseconds(50);

class RunningRuntime final : public ControlRuntime {
 public:
  RunningRuntime() : m_system(m_config) {}

  void Advance(Duration /*duration*/) override {}
  bool IsPaused() const override { return false; }
  caf::actor_system& System() override { return m_system; }

 private:
  struct Config : caf::actor_system_config {
    Config() { set("scheduler.max-threads", std::size_t{1}); }
  };

  Config m_config;
  caf::actor_system m_system;
};

class PausedRuntime final : public ControlRuntime {
 public:
  PausedRuntime() : m_system(m_config) {}

  void Advance(Duration duration) override {
    auto& scheduler =
        dynamic_cast<caf::scheduler::test_coordinator&>(m_system.scheduler());
    scheduler.run();
    for (Duration done{0}; done < duration; done += kStep) {
      scheduler.clock().advance_time(std::min(kStep, duration - done));
      scheduler.run();
    }
  }
  bool IsPaused() const override { return true; }
  caf::actor_system& System() override { return m_system; }

 private:
  struct Config : caf::actor_system_config {
    Config() { set("scheduler.policy", caf::atom("testing")); }
  };

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
