#include "process/control.h"

#include <caf/all.hpp>
#include <utility>

#include "process/control_core.h"

namespace bramleyspoke {

/// A call that the control actor runs.
struct ControlCall {
  std::function<void()> run;
};

}  // namespace bramleyspoke

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bramleyspoke::ControlCall)

namespace bramleyspoke {
namespace {

using StartAtom = caf::atom_constant<caf::atom("start")>;
using TickAtom = caf::atom_constant<caf::atom("tick")>;

// Serializes control: every event is a message to this actor.
class ControlActor final : public caf::event_based_actor {
 public:
  ControlActor(caf::actor_config& config,
               const ControlOptions& options,
               ControlContext context)
      : caf::event_based_actor(config), m_tick(options.tick) {
    context.now = [this] { return clock().now(); };
    context.post = [self = caf::actor_cast<caf::actor>(address())](
                       std::function<void()> call) {
      caf::anon_send(self, ControlCall{std::move(call)});
    };
    m_core = std::make_unique<ControlCore>(options, std::move(context));
  }

  ControlCore& Core() { return *m_core; }

  caf::behavior make_behavior() override {
    return {[this](StartAtom) { delayed_send(this, m_tick, TickAtom::value); },
            [this](TickAtom) {
              delayed_send(this, m_tick, TickAtom::value);
              m_core->OnTick();
            },
            [](const ControlCall& call) { call.run(); }};
  }

  // Ends the watches: the objects that the core refers to may be destroyed
  // afterwards.
  void on_exit() override { m_core.reset(); }

 private:
  Duration m_tick;
  std::unique_ptr<ControlCore> m_core;
};

// Other threads call it while it starts and stops, so the actor's handle does
// not change: messages to an actor that has ended are dropped.
class ControlImpl final : public Control {
 public:
  ControlImpl(const ControlOptions& options,
              ControlRuntime& runtime,
              const ControlContext& context)
      : m_runtime(runtime),
        m_actor(runtime.System().spawn<ControlActor>(options, context)),
        m_core(&caf::actor_cast<ControlActor*>(m_actor)->Core()) {}

  ~ControlImpl() override { ControlImpl::Stop(); }

  void Start() override { caf::anon_send(m_actor, StartAtom::value); }

  void Stop() override {
    if (std::exchange(m_is_stopped, true)) {
      return;
    }
    caf::anon_send_exit(m_actor, caf::exit_reason::user_shutdown);
    if (m_runtime.HasManualClock()) {
      m_runtime.Advance(Duration::zero());
    } else {
      caf::scoped_actor self(m_runtime.System());
      self->wait_for(m_actor);
    }
  }

  void BeginLeaving() override {
    Post([core = m_core] { core->BeginLeaving(); });
  }

  void PublishEvidence(EvidenceNotice evidence) override {
    Post([core = m_core, evidence = std::move(evidence)] {
      core->PublishEvidence(evidence);
    });
  }

  void PublishDrain(DrainNotice drain) override {
    Post([core = m_core, drain = std::move(drain)] {
      core->PublishDrain(drain);
    });
  }

  void DumpJson(std::function<void(std::string)> done) override {
    Post([core = m_core, done = std::move(done)] { done(core->DumpJson()); });
  }

  void OnGossip(GossipMessage message,
                std::function<void(GossipMessage)> reply) override {
    Post([core = m_core, message = std::move(message),
          reply = std::move(reply)] { reply(core->OnGossip(message)); });
  }

  void OnPingVia(const Endpoint& target,
                 std::function<void(bool)> reply) override {
    Post([core = m_core, target, reply = std::move(reply)] {
      core->OnPingVia(target, reply);
    });
  }

  void OnFetchParts(
      std::vector<std::string> hashes,
      std::function<void(std::vector<std::string>)> reply) override {
    Post([core = m_core, hashes = std::move(hashes), reply = std::move(reply)] {
      reply(core->OnFetchParts(hashes));
    });
  }

 private:
  void Post(std::function<void()> call) {
    caf::anon_send(m_actor, ControlCall{std::move(call)});
  }

  ControlRuntime& m_runtime;
  const caf::actor m_actor;
  // Owned by the actor, which runs all calls on it.
  ControlCore* const m_core;
  bool m_is_stopped = false;
};

}  // namespace

Result<std::unique_ptr<Control>> Control::Create(const ControlOptions& options,
                                                 ControlRuntime& runtime,
                                                 ConfigStore& store,
                                                 VmList& vm_list,
                                                 PeerNetwork& peers,
                                                 ControlListener& listener) {
  if (options.tick <= Duration::zero() ||
      options.pause_gap <= 2 * options.tick) {
    return Fail("pause_gap",
                "more than two ticks, and a tick longer than 0 ms");
  }
  return std::unique_ptr<Control>(std::make_unique<ControlImpl>(
      options, runtime,
      ControlContext{store, vm_list, peers, listener, nullptr, nullptr}));
}

}  // namespace bramleyspoke
