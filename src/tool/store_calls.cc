#include "tool/store_calls.h"

#include <functional>
#include <future>
#include <memory>

#include "connection/etcd_store.h"
#include "connection/event_loop.h"

namespace bramleyspoke {
namespace {

// The store is created, called and destroyed on the thread of its event loop.
template <typename Outcome>
Outcome CallAndWait(
    const StoreTarget& target,
    const std::function<void(ConfigStore&, std::function<void(Outcome)>)>&
        call) {
  const auto loop = EventLoop::Create();
  std::unique_ptr<EtcdStore> store;
  std::promise<Outcome> promise;
  loop->Post([&] {
    store = EtcdStore::Create(*loop, target.servers, target.call_timeout);
    call(*store, [&](Outcome outcome) {
      // The store must not be destroyed inside its own callback.
      loop->Post([&, outcome = std::move(outcome)]() mutable {
        store.reset();
        promise.set_value(std::move(outcome));
      });
    });
  });
  loop->Start();
  Outcome outcome = promise.get_future().get();
  loop->Stop();
  return outcome;
}

}  // namespace

PublishOutcome PublishAndWait(const StoreTarget& target,
                              const Manifest& manifest,
                              const PublishOptions& options) {
  return CallAndWait<PublishOutcome>(
      target, [&](ConfigStore& store, auto done) {
        ManifestPublisher::Publish(store, manifest, options, std::move(done));
      });
}

ManifestReadOutcome ReadAndWait(const StoreTarget& target,
                                std::optional<std::uint64_t> generation) {
  return CallAndWait<ManifestReadOutcome>(
      target, [&](ConfigStore& store, auto done) {
        ManifestReader::Read(store, generation, std::move(done));
      });
}

}  // namespace bramleyspoke
