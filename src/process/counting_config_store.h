#pragma once

#include <memory>
#include <string>

#include "connection/config_store.h"

namespace bramleyspoke {

class Metrics;

/// Forwards calls to another store and counts them in the metrics.
class CountingConfigStore final : public ConfigStore {
 public:
  /// `store` and `metrics` must outlive the object.
  CountingConfigStore(ConfigStore& store, Metrics& metrics)
      : m_store(store), m_metrics(metrics) {}

  void Get(const std::string& key,
           std::function<void(StoreRead)> done) override;
  void CompareAndSwap(const std::string& key,
                      std::int64_t expected,
                      const std::string& value,
                      std::function<void(StoreWrite)> done) override;
  /// A watch that ends on an error is counted as an unavailable store.
  [[nodiscard]] std::unique_ptr<StoreWatch> Watch(
      const std::string& key,
      std::int64_t revision,
      std::function<void(StoreValue)> on_change,
      std::function<void()> on_end) override;

 private:
  ConfigStore& m_store;
  Metrics& m_metrics;
};

}  // namespace bramleyspoke
