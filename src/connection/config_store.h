#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"

namespace bramleyspoke {

/// How a call to the key-value service ended.
enum class StoreOutcome {
  kOk,
  /// The comparison failed: nothing was written.
  kConflict,
  /// No answer came: a write may have taken effect, or may yet.
  kUnknown,
  /// Refused or never sent: nothing was written.
  kUnavailable,
};

/// A value with the revision of its last change (0: the key is absent).
struct StoreValue {
  std::string value;
  std::int64_t revision = 0;
};

struct StoreRead {
  StoreOutcome outcome = StoreOutcome::kUnavailable;
  StoreValue value;
};

struct StoreWrite {
  StoreOutcome outcome = StoreOutcome::kUnavailable;
  /// Revision of the change when `outcome` is `kOk`.
  std::int64_t revision = 0;
};

/// A waiting watch; destroying it ends it.
class StoreWatch {
 public:
  virtual ~StoreWatch() = default;
};

/// The platform's key-value service, as far as we use it.
class ConfigStore {
 public:
  virtual ~ConfigStore() = default;

  virtual void Get(const std::string& key,
                   std::function<void(StoreRead)> done) = 0;
  /// Writes if the key's revision is `expected`; 0 creates the key.
  virtual void CompareAndSwap(const std::string& key,
                              std::int64_t expected,
                              const std::string& value,
                              std::function<void(StoreWrite)> done) = 0;
  /// Reports each change of `key` after `revision`; `on_end` comes once, when
  /// the watch broke.
  [[nodiscard]] virtual std::unique_ptr<StoreWatch> Watch(
      const std::string& key,
      std::int64_t revision,
      std::function<void(StoreValue)> on_change,
      std::function<void()> on_end) = 0;
};

}  // namespace bramleyspoke
