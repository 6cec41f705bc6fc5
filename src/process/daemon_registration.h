#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "connection/key_value_store.h"
#include "process/store_pace.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Keeps one key of this process in the store under a lease, while it lives.
class DaemonRegistration {
 public:
  static constexpr Duration kRetryTime = std::chrono::milliseconds(500);

  /// `on_no_answer` is called whenever a call got no answer.
  DaemonRegistration(EventLoop& loop,
                     KeyValueStore& store,
                     std::string key,
                     std::string value,
                     std::function<void()> on_no_answer);
  ~DaemonRegistration();

  void Start();
  /// Takes a lease of another length, if it changes.
  void SetPace(const StorePace& pace);
  /// The store turned out not to have the key: writes it again.
  void Restore();
  /// Takes the key away and keeps it away.
  void End();

 private:
  void Grant();
  void OnGranted(const LeaseGrant& grant);
  void Put();
  void OnPut(KeyValueStatus status);
  void Renew();
  void OnRenewed(KeyValueStatus status);
  void EndLease(LeaseId lease);
  void CheckAnswered(KeyValueStatus status) const;
  void After(Duration pause, void (DaemonRegistration::*step)());
  /// A callback that does nothing once another step has begun.
  template <typename Result>
  std::function<void(Result)> Then(void (DaemonRegistration::*step)(Result));

  EventLoop& m_loop;
  KeyValueStore& m_store;
  std::string m_key;
  std::string m_value;
  std::function<void()> m_on_no_answer;
  StorePace m_pace = kServingPace;
  LeaseId m_lease = 0;
  /// The one before, until the key is under the new one.
  LeaseId m_old_lease = 0;
  bool m_is_registered = false;
  bool m_is_ended = false;
  /// Of the call under way.
  std::uint64_t m_step = 0;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<DaemonRegistration*> m_self;
};

}  // namespace bramleyspoke
