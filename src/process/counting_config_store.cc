#include "process/counting_config_store.h"

#include <utility>

#include "process/metrics.h"

namespace bramleyspoke {

void CountingConfigStore::Get(const std::string& key,
                              std::function<void(StoreRead)> done) {
  m_store.Get(key,
              [&metrics = m_metrics, done = std::move(done)](StoreRead read) {
                metrics.CountStoreCall(read.outcome);
                done(std::move(read));
              });
}

void CountingConfigStore::CompareAndSwap(const std::string& key,
                                         std::int64_t expected,
                                         const std::string& value,
                                         std::function<void(StoreWrite)> done) {
  m_store.CompareAndSwap(
      key, expected, value,
      [&metrics = m_metrics, done = std::move(done)](StoreWrite write) {
        metrics.CountStoreCall(write.outcome);
        done(write);
      });
}

std::unique_ptr<StoreWatch> CountingConfigStore::Watch(
    const std::string& key,
    std::int64_t revision,
    std::function<void(StoreValue)> on_change,
    std::function<void()> on_end) {
  return m_store.Watch(key, revision, std::move(on_change),
                       [&metrics = m_metrics, on_end = std::move(on_end)] {
                         metrics.CountStoreCall(StoreOutcome::kUnavailable);
                         on_end();
                       });
}

}  // namespace bramleyspoke
