#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "connection/key_value_store.h"
#include "process/store_timings.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// How a call of a `StoreFollower` ended.
struct StoreCallEnd {
  KeyValueStatus status = KeyValueStatus::kOk;
  /// Time that the call was outstanding.
  Duration waited{0};
  /// Time since the store's last response before this one; empty if there was
  /// none.
  std::optional<Duration> unconfirmed;
};

/// Receives the keys and changes that a `StoreFollower` reads; called on its
/// loop.
class StoreListener {
 public:
  virtual ~StoreListener() = default;
  /// All keys under the prefix, after each complete read.
  virtual void OnKeys(const std::vector<KeyValueItem>& items,
                      const StoreCallEnd& end) = 0;
  virtual void OnChanges(const std::vector<KeyValueEvent>& events,
                         const StoreCallEnd& end) = 0;
  /// Delay before the next page of the first read of all keys; `items` are
  /// those read so far. Not asked again once it is not zero.
  virtual Duration DelayOfNextPage(const std::vector<KeyValueItem>& items) = 0;
  /// The store has shown that what was reported of it was current at `at`, or
  /// some seconds before if it responded to a read of its recent revision.
  virtual void OnStoreConfirmed(TimePoint at) = 0;
  /// A call failed, for the first time since the last one that succeeded. A
  /// watch without a response counts only if a short one has none either.
  virtual void OnStoreUnavailable(const StoreCallEnd& end) = 0;
  /// A call succeeded after failures.
  virtual void OnStoreAvailable() = 0;
};

/// Follows all keys of the store: reads them, then watches for changes.
///
/// A watch that is not answered looks like one without changes, and one that a
/// peer answers may be behind the store. The store's revision is therefore read
/// over another connection whenever the store has not shown for some time that
/// what is known is current. If the store has changed and that does not arrive,
/// a short watch replaces the outstanding one.
///
/// The first read of all keys may be old. It is reported together with what has
/// changed since, which a short watch brings.
class StoreFollower {
 public:
  /// Wait of a watch that probes whether the store answers at all. It is short,
  /// as a store that recovers may never answer the watches it received before.
  static constexpr Duration kProbeWait = std::chrono::milliseconds(200);
  /// Wait of a watch that brings what has changed since an old read.
  static constexpr Duration kCatchUpWait = std::chrono::milliseconds(1);
  /// Reads of the revision per apply bound; the rest of an interval is left for
  /// timeouts and for the read of the change.
  static constexpr int kChecksPerApplyBound = 2;
  /// Delay before the first retry, doubled with each failure up to the longest
  /// of the timings.
  static constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);

  /// `apply_bound` is the time within which a change of the store has to be
  /// reported.
  StoreFollower(EventLoop& loop,
                KeyValueStore& store,
                Duration apply_bound,
                StoreListener& listener);
  ~StoreFollower();

  void Start();
  /// Sets the timings. An outstanding watch keeps its wait.
  void SetTimings(const StoreTimings& timings) { m_timings = timings; }
  /// Replaces the outstanding watch by a short one; called if the store did not
  /// answer another call and may not answer this watch either.
  void Probe();
  /// Reads the store's revision at once, unless it is being read, and ends a
  /// delay before the next watch. `OnStoreConfirmed` follows if the store
  /// responds.
  void CheckNow();
  /// Forgets the revision and reads all keys again; called when what is known
  /// may not be what the store held at that revision.
  void ReadAgain();
  bool IsUnavailable() const { return m_is_unavailable; }

 private:
  void ReadPage(const std::string& after);
  void OnPage(std::uint64_t read, KeyValuePage page);
  void ReadNextPage();
  void ReportKeys(KeyValueStatus status);
  Duration NextWait() const;
  void Watch();
  void BeginProbe();
  void ScheduleCheck();
  void Check();
  void OnRevision(std::uint64_t watch,
                  TimePoint read_at,
                  const KeyValueRevision& read);
  void OnChangesDue(std::uint64_t watch,
                    TimePoint read_at,
                    std::int64_t revision);
  bool IsAheadOfStore(std::int64_t revision);
  void OnChanges(std::uint64_t watch, const KeyValueChanges& changes);
  void CatchUp(const KeyValueChanges& changes);
  void OnFailure(KeyValueStatus status);
  void OnSuccess();
  void Confirm(TimePoint at);
  StoreCallEnd EndOfCall(KeyValueStatus status) const;
  void ScheduleNext(Duration delay);

  EventLoop& m_loop;
  KeyValueStore& m_store;
  const Duration m_check_interval;
  StoreListener& m_listener;
  std::vector<KeyValueItem> m_items;
  /// Revision to watch from; 0 until all keys were read.
  std::int64_t m_revision = 0;
  /// Lowest revision of the pages of the current read; 0 before the first.
  std::int64_t m_read_revision = 0;
  ReadAge m_read_age = ReadAge::kMayBeOld;
  bool m_was_read_delayed = false;
  /// Whether `m_items` is from an old read and not reported yet.
  bool m_is_catching_up = false;
  StoreTimings m_timings = kStandbyTimings;
  Duration m_retry_delay = kMinRetryDelay;
  bool m_is_unavailable = false;
  /// When the last call began.
  TimePoint m_called_at;
  /// When the store last showed that what is known of it is current.
  std::optional<TimePoint> m_confirmed_at;
  /// Number of the current read of all keys.
  std::uint64_t m_read = 0;
  /// Number of the outstanding watch; 0: none.
  std::uint64_t m_watch = 0;
  std::uint64_t m_last_watch = 0;
  bool m_is_probing = false;
  /// Whether a peer gave the latest changes.
  bool m_is_from_peer = false;
  /// Revision given by a peer for which the store has shown an older one; 0:
  /// none.
  std::int64_t m_doubted_revision = 0;
  bool m_is_check_outstanding = false;
  /// Whether the next watch is checked as soon as it is sent.
  bool m_is_check_due = false;
  std::unique_ptr<Timer> m_timer;
  /// Next check of the outstanding watch.
  std::unique_ptr<Timer> m_check_timer;
  /// When the changes that a check has shown must have arrived.
  std::unique_ptr<Timer> m_overdue_timer;
  std::shared_ptr<StoreFollower*> m_self;
};

}  // namespace bramleyspoke
