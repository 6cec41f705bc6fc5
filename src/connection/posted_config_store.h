#pragma once

#include <memory>
#include <string>

#include "connection/config_store.h"

namespace bramleyspoke {

class EventLoop;

/// Passes calls from any thread to a store that must be used on its loop's
/// thread, where the callbacks run.
///
/// A watch may be destroyed on any thread; a change that is reported at that
/// moment may still arrive.
class PostedConfigStore final : public ConfigStore {
 public:
  /// `loop` must outlive the object and its watches; `store` must live until
  /// the loop has stopped.
  PostedConfigStore(EventLoop& loop, ConfigStore& store)
      : m_loop(loop), m_store(store) {}

  void Get(const std::string& key,
           std::function<void(StoreRead)> done) override;
  void CompareAndSwap(const std::string& key,
                      std::int64_t expected,
                      const std::string& value,
                      std::function<void(StoreWrite)> done) override;
  [[nodiscard]] std::unique_ptr<StoreWatch> Watch(
      const std::string& key,
      std::int64_t revision,
      std::function<void(StoreValue)> on_change,
      std::function<void()> on_end) override;

 private:
  EventLoop& m_loop;
  ConfigStore& m_store;
};

}  // namespace bramleyspoke
