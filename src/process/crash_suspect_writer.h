#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/time.h"
#include "connection/key_value_store.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Writes suspect requests to the store, one after the other, for daemons that
/// start later.
///
/// The store removes an entry after `kTimeToLive`. Used on the loop's thread
/// only.
class CrashSuspectWriter {
 public:
  static constexpr Duration kTimeToLive = std::chrono::minutes(10);
  static constexpr Duration kRetryDelay = std::chrono::seconds(1);
  /// Entries waiting to be written, beyond which new ones are not written.
  static constexpr std::size_t kMaxWaiting = 64;

  CrashSuspectWriter(EventLoop& loop, KeyValueStore& store);
  ~CrashSuspectWriter();

  /// Writes an entry unless the store is known to have it.
  void Write(const std::string& key, const std::string& value);
  /// The store has this entry.
  void OnStored(const std::string& key);
  /// Begins the current write again, under a new lease; called when the store
  /// is in a new era.
  void OnNewEra();
  /// The store no longer has this entry.
  void OnRemoved(const std::string& key) { m_stored.erase(key); }

 private:
  struct Entry {
    std::string key;
    std::string value;
  };

  void WriteNext();
  void OnGranted(const LeaseGrant& grant);
  void Put();
  void OnPut(KeyValueStatus status);
  void ScheduleCall(void (CrashSuspectWriter::*call)());
  template <typename Result>
  std::function<void(Result)> MakeCallback(
      void (CrashSuspectWriter::*handler)(Result));

  EventLoop& m_loop;
  KeyValueStore& m_store;
  /// The first entry is being written if `m_is_writing`.
  std::deque<Entry> m_waiting;
  std::set<std::string> m_stored;
  bool m_is_writing = false;
  LeaseId m_lease = 0;
  /// Number of the outstanding call.
  std::uint64_t m_call_number = 0;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<CrashSuspectWriter*> m_self;
};

}  // namespace bramleyspoke
