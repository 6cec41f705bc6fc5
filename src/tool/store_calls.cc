#include "tool/store_calls.h"

#include <functional>
#include <future>
#include <memory>

#include "connection/etcd_store.h"
#include "connection/event_loop.h"

namespace bramleyspoke {
namespace {

// The store lives on its loop's thread: made, called and destroyed there.
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
      // Destroying the store inside of its own callback is not allowed.
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
