#include "connection/posted_config_store.h"

#include <utility>

#include "connection/event_loop.h"

namespace bramleyspoke {
namespace {

// State of a watch; used only on the loop's thread.
struct WatchState {
  std::unique_ptr<StoreWatch> watch;
  bool is_cancelled = false;
};

class PostedWatch final : public StoreWatch {
 public:
  PostedWatch(EventLoop& loop, std::shared_ptr<WatchState> state)
      : m_loop(loop), m_state(std::move(state)) {}

  ~PostedWatch() override {
    m_loop.Post([state = std::move(m_state)] {
      state->is_cancelled = true;
      state->watch.reset();
    });
  }

 private:
  EventLoop& m_loop;
  std::shared_ptr<WatchState> m_state;
};

}  // namespace

void PostedConfigStore::Get(const std::string& key,
                            std::function<void(StoreRead)> done) {
  m_loop.Post([&store = m_store, key, done = std::move(done)]() mutable {
    store.Get(key, std::move(done));
  });
}

void PostedConfigStore::CompareAndSwap(const std::string& key,
                                       std::int64_t expected,
                                       const std::string& value,
                                       std::function<void(StoreWrite)> done) {
  m_loop.Post([&store = m_store, key, expected, value,
               done = std::move(done)]() mutable {
    store.CompareAndSwap(key, expected, value, std::move(done));
  });
}

std::unique_ptr<StoreWatch> PostedConfigStore::Watch(
    const std::string& key,
    std::int64_t revision,
    std::function<void(StoreValue)> on_change,
    std::function<void()> on_end) {
  auto state = std::make_shared<WatchState>();
  m_loop.Post([&store = m_store, state, key, revision,
               on_change = std::move(on_change),
               on_end = std::move(on_end)]() mutable {
    if (!state->is_cancelled) {
      state->watch =
          store.Watch(key, revision, std::move(on_change), std::move(on_end));
    }
  });
  return std::make_unique<PostedWatch>(m_loop, std::move(state));
}

}  // namespace bramleyspoke
