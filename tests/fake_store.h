#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "connection/config_store.h"
#include "version/manifest_parts.h"

namespace bramleyspoke {

/// Fault injected into a call to the fake store.
enum class StoreFault {
  kNone,
  kAnswerLost,
  kRequestLost,
  /// The response is lost and the write takes effect later.
  kLate,
  kRefused,
};

/// In-memory store that queues each call until the test runs it.
class FakeStore final : public ConfigStore {
 public:
  void Get(const std::string& key,
           std::function<void(StoreRead)> done) override {
    m_waiting.push_back([this, key, done](StoreFault fault) {
      if (fault == StoreFault::kNone) {
        done({StoreOutcome::kOk, values[key]});
        return;
      }
      done({fault == StoreFault::kRefused ? StoreOutcome::kUnavailable
                                          : StoreOutcome::kUnknown,
            {}});
    });
  }

  void CompareAndSwap(const std::string& key,
                      std::int64_t expected,
                      const std::string& value,
                      std::function<void(StoreWrite)> done) override {
    ++writes;
    m_waiting.push_back([=, this](StoreFault fault) {
      switch (fault) {
        case StoreFault::kNone:
          done(Swap(key, expected, value));
          return;
        case StoreFault::kAnswerLost:
          Swap(key, expected, value);
          break;
        case StoreFault::kLate:
          m_waiting.push_back(
              [=, this](StoreFault) { Swap(key, expected, value); });
          break;
        case StoreFault::kRequestLost:
          break;
        case StoreFault::kRefused:
          done({StoreOutcome::kUnavailable, 0});
          return;
      }
      done({StoreOutcome::kUnknown, 0});
    });
  }

  std::unique_ptr<StoreWatch> Watch(const std::string& key,
                                    std::int64_t /*revision*/,
                                    std::function<void(StoreValue)> on_change,
                                    std::function<void()> on_end) override {
    struct Handle final : StoreWatch {
      std::function<void()> drop;
      ~Handle() override { drop(); }
    };
    const int number = m_next_watch++;
    m_watches[number] = {key, std::move(on_change), std::move(on_end)};
    auto handle = std::make_unique<Handle>();
    handle->drop = [this, number] { m_watches.erase(number); };
    return handle;
  }

  std::size_t Waiting() const { return m_waiting.size(); }
  std::size_t Watches() const { return m_watches.size(); }
  /// Runs the queued call at `index`.
  void RunOne(std::size_t index, StoreFault fault) {
    const auto call = m_waiting[index];
    m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
    call(fault);
  }
  /// Runs queued calls in order until none is left.
  void RunAll(StoreFault fault = StoreFault::kNone) {
    while (!m_waiting.empty()) {
      RunOne(0, fault);
    }
  }

  std::map<std::string, StoreValue> values;
  /// Every head that was written, in order.
  std::vector<ManifestHead> heads;
  std::size_t writes = 0;

 private:
  struct WatchEntry {
    std::string key;
    std::function<void(StoreValue)> on_change;
    std::function<void()> on_end;
  };

  StoreWrite Swap(const std::string& key,
                  std::int64_t expected,
                  const std::string& value) {
    StoreValue& current = values[key];
    if (current.revision != expected) {
      return {StoreOutcome::kConflict, 0};
    }
    current = {value, ++m_revision};
    if (key == kHeadKey) {
      heads.push_back(ParseManifestHead(value).value());
    }
    for (const auto& [number, watch] : m_watches) {
      if (watch.key == key) {
        watch.on_change(current);
      }
    }
    return {StoreOutcome::kOk, m_revision};
  }

  std::vector<std::function<void(StoreFault)>> m_waiting;
  std::map<int, WatchEntry> m_watches;
  int m_next_watch = 0;
  std::int64_t m_revision = 0;
};

/// A small valid service, for manifests in tests.
inline ServiceSpec MakeService(const std::string& name, int leafs = 4) {
  ServiceSpec spec;
  spec.name = name;
  spec.slots = 2;
  spec.connections = 25;
  Layout layout;
  layout.id = "a";
  for (int i = 0; i < leafs; ++i) {
    const Endpoint leaf{"127.1.0." + std::to_string(i + 1), 7000};
    const std::string region(1, i % 2 == 0 ? 'a' : 'b');
    layout.shards.push_back(
        {static_cast<std::uint32_t>(i), {{leaf, region + "1", region}}});
  }
  spec.layouts.push_back(layout);
  return spec;
}

}  // namespace bramleyspoke
