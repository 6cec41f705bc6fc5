#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "connection/key_value_store.h"
#include "process/store_timings.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Keeps one key of this process in the store, under a lease that it renews.
class DaemonRegistration {
 public:
  /// Delay before the first retry, doubled with each failure up to the longest
  /// of the timings.
  static constexpr Duration kMinRetryDelay = std::chrono::milliseconds(500);
  /// Time over which all daemons' registrations are spread in a new era.
  static constexpr std::chrono::milliseconds kNewEraSpread{1000};

  /// `on_unanswered` is called whenever a grant, put or renewal is unanswered.
  DaemonRegistration(EventLoop& loop,
                     KeyValueStore& store,
                     std::string key,
                     std::string value,
                     std::function<void()> on_unanswered);
  ~DaemonRegistration();

  void Start();
  /// Sets the timings. If they differ from the current ones and the key is
  /// registered, moves it to a new lease.
  void SetTimings(const StoreTimings& timings);
  /// Replaces the key's value.
  void SetValue(std::string value);
  /// Writes the key again; called if the store does not have it.
  void Restore();
  /// Writes the key again if the store has another value than the last one that
  /// was written: it may execute a put that it did not answer after a later
  /// one.
  void OnStored(const std::string& value);
  /// Registers anew, without a call for the previous lease: its id may be
  /// another's in the store's new era.
  void OnNewEra();
  /// Removes the key for good.
  void Unregister();

 private:
  void Grant();
  void OnGranted(const LeaseGrant& grant);
  void Put();
  void OnPut(KeyValueStatus status);
  void Renew();
  void OnRenewed(KeyValueStatus status);
  void RevokeLease(LeaseId lease);
  void ReportIfUnanswered(KeyValueStatus status) const;
  void Retry(void (DaemonRegistration::*call)());
  void ScheduleCall(Duration delay, void (DaemonRegistration::*call)());
  /// Returns a callback that does nothing once another call has begun.
  template <typename Result>
  std::function<void(Result)> MakeCallback(
      void (DaemonRegistration::*handler)(Result));

  EventLoop& m_loop;
  KeyValueStore& m_store;
  std::string m_key;
  std::string m_value;
  /// The value of the last put.
  std::string m_put_value;
  std::function<void()> m_on_unanswered;
  /// In a large fleet most daemons are standbys; a holder moves to a new lease.
  StoreTimings m_timings = kStandbyTimings;
  Duration m_retry_delay = kMinRetryDelay;
  LeaseId m_lease = 0;
  /// The previous lease, until the key is under the new one; 0: none.
  LeaseId m_old_lease = 0;
  bool m_is_registered = false;
  bool m_is_unregistered = false;
  /// Number of the outstanding call.
  std::uint64_t m_call_number = 0;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<DaemonRegistration*> m_self;
};

}  // namespace bramleyspoke
