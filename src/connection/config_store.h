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
  /// No response arrived, or the response does not show the outcome: a write
  /// may have taken effect or may still do so.
  kUnknown,
  /// A write was rejected or never sent, so nothing was written; or a read
  /// failed for any reason.
  kUnavailable,
};

/// A value and the revision of its last change; 0 if the key is absent.
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

/// An open watch; destroying it cancels the watch.
class StoreWatch {
 public:
  virtual ~StoreWatch() = default;
};

/// The operations of the platform's key-value service that the daemon uses.
class ConfigStore {
 public:
  virtual ~ConfigStore() = default;

  virtual void Get(const std::string& key,
                   std::function<void(StoreRead)> done) = 0;
  /// Writes `value` if the key's revision is `expected`; 0 creates the key.
  virtual void CompareAndSwap(const std::string& key,
                              std::int64_t expected,
                              const std::string& value,
                              std::function<void(StoreWrite)> done) = 0;
  /// Reports each change of `key` after `revision`. `on_end` is called once,
  /// when the watch breaks.
  [[nodiscard]] virtual std::unique_ptr<StoreWatch> Watch(
      const std::string& key,
      std::int64_t revision,
      std::function<void(StoreValue)> on_change,
      std::function<void()> on_end) = 0;
};

}  // namespace bramleyspoke
