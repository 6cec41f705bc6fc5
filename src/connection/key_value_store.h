#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace bramleyspoke {

/// How a call to a key-value store ended.
enum class KeyValueStatus {
  kOk,
  /// The key or the lease does not exist.
  kNotFound,
  /// The requested events are no longer available.
  kHistoryGone,
  /// The call was rejected; nothing was changed.
  kRefused,
  /// No response arrived; a write may have taken effect or may still do so.
  kUnknown,
};

std::string_view ToString(KeyValueStatus status);

using LeaseId = std::int64_t;

/// Whether a read may return what the store held some seconds ago, which costs
/// a fraction of one that may not.
enum class ReadAge {
  kCurrent,
  kMayBeOld,
};

struct KeyValueItem {
  std::string key;
  std::string value;
};

/// A change of one key; without a value if the key was removed.
struct KeyValueEvent {
  std::string key;
  std::optional<std::string> value;
};

struct KeyValuePage {
  KeyValueStatus status = KeyValueStatus::kUnknown;
  std::vector<KeyValueItem> items;
  bool has_more = false;
  /// Store revision at which the page was read.
  std::int64_t revision = 0;
};

struct KeyValueChanges {
  KeyValueStatus status = KeyValueStatus::kUnknown;
  std::vector<KeyValueEvent> events;
  /// Revision from which to continue watching.
  std::int64_t revision = 0;
  /// Whether the response may be full, so that more events wait already.
  bool has_more = false;
  /// Whether a peer answered in the store's place. It may be behind the store.
  bool is_from_peer = false;
};

struct KeyValueRevision {
  KeyValueStatus status = KeyValueStatus::kUnknown;
  std::int64_t revision = 0;
};

struct LeaseGrant {
  KeyValueStatus status = KeyValueStatus::kUnknown;
  LeaseId lease = 0;
  Duration time_to_live{0};
};

/// Change of the store's era: the store was replaced by an older copy of
/// itself.
///
/// What was written since that copy is lost, and revisions and leases may be
/// given out again: none of them holds beyond its era.
struct StoreEraChange {
  std::uint64_t before = 0;
  std::uint64_t after = 0;
};

/// A key-value store with revisions, watches and leases.
///
/// Each callback is called exactly once, on the implementation's loop. A
/// response from an era before the newest one known counts as none.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  /// Sets the function that is called when a response shows a new era, before
  /// the callback of that response.
  virtual void OnEraChange(std::function<void(const StoreEraChange&)> done) = 0;

  /// Newest era that a response has shown; 0 if none has.
  virtual std::uint64_t Era() const = 0;

  /// Reads one page of the keys under `prefix` that sort after `after`.
  virtual void Range(const std::string& prefix,
                     const std::string& after,
                     ReadAge age,
                     std::function<void(KeyValuePage)> done) = 0;
  /// Waits up to `wait` for changes under `prefix` after `revision`.
  virtual void Watch(const std::string& prefix,
                     std::int64_t revision,
                     Duration wait,
                     std::function<void(KeyValueChanges)> done) = 0;
  /// Cancels the outstanding watches, which may never get a response: their
  /// callbacks get `kUnknown`.
  virtual void CancelWatches() = 0;
  /// Reads a revision that the store has had, mostly its current one and at
  /// times one of some seconds ago; costs a fraction of a read.
  virtual void ReadRecentRevision(
      std::function<void(KeyValueRevision)> done) = 0;
  virtual void Grant(Duration time_to_live,
                     std::function<void(LeaseGrant)> done) = 0;
  virtual void Renew(LeaseId lease,
                     std::function<void(KeyValueStatus)> done) = 0;
  virtual void Revoke(LeaseId lease,
                      std::function<void(KeyValueStatus)> done) = 0;
  /// Writes `key`, which is removed when `lease` expires or is revoked.
  virtual void Put(const std::string& key,
                   const std::string& value,
                   LeaseId lease,
                   std::function<void(KeyValueStatus)> done) = 0;
};

}  // namespace bramleyspoke
