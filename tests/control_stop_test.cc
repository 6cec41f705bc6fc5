#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "fake_store.h"
#include "process/control.h"
#include "process/control_runtime.h"
#include "router_fakes.h"

namespace bramleyspoke {
namespace {

constexpr int kRounds = 200;
constexpr int kThreads = 4;
// Limits the memory if the control is slower than its callers.
constexpr int kMaxCallsPerThread = 2000;

class EmptyVmList final : public VmList {
 public:
  void Fetch(
      std::function<void(std::optional<std::vector<VmRecord>>)> done) override {
    done(std::nullopt);
  }
};

class NullListener final : public ControlListener {
 public:
  void OnRoutingTable(std::shared_ptr<const RoutingTable>) override {}
  void OnEvidence(const EvidenceNotice&) override {}
  void OnDrain(const DrainNotice&) override {}
  void OnHeartbeat(TimePoint) override {}
};

}  // namespace

TEST_CASE(
    "a control may be called by other threads while it starts and stops") {
  FakePeers peers;
  EmptyVmList vm_list;
  NullListener listener;
  const auto runtime = ControlRuntime::Create();
  for (int round = 0; round < kRounds; ++round) {
    FakeStore store;
    ControlOptions options;
    options.self = {{"127.0.1.1", 8080}, {"127.0.1.1", 9000}, 7, "a1", "a"};
    const auto control =
        Control::Create(options, *runtime, store, vm_list, peers, listener)
            .value();
    std::atomic<bool> is_done = false;
    std::vector<std::thread> callers;
    for (int i = 0; i < kThreads; ++i) {
      callers.emplace_back([&] {
        for (int i = 0; i < kMaxCallsPerThread && !is_done; ++i) {
          control->PublishDrain({{"127.0.2.1", 7000}, "x"});
        }
      });
    }
    control->Start();
    control->Stop();
    is_done = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
  }
}

}  // namespace bramleyspoke
