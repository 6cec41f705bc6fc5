#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "connection/key_value_store.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Keeps one key of this process in the store under a lease, while it lives.
class DaemonRegistration {
 public:
  static constexpr Duration kTimeToLive = std::chrono::seconds(4);
  static constexpr Duration kRenewTime = std::chrono::milliseconds(1300);
  static constexpr Duration kRetryTime = std::chrono::milliseconds(500);

  /// `on_no_answer` is called whenever a call got no answer.
  DaemonRegistration(EventLoop& loop,
                     KeyValueStore& store,
                     std::string key,
                     std::string value,
                     std::function<void()> on_no_answer);
  ~DaemonRegistration();

  void Start();
  /// Takes the key away and keeps it away.
  void End();

 private:
  void Grant();
  void Put();
  void Renew();
  void OnRenewed(KeyValueStatus status);
  void CheckAnswered(KeyValueStatus status) const;
  void After(Duration pause, void (DaemonRegistration::*step)());

  EventLoop& m_loop;
  KeyValueStore& m_store;
  std::string m_key;
  std::string m_value;
  std::function<void()> m_on_no_answer;
  LeaseId m_lease = 0;
  bool m_is_ended = false;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<DaemonRegistration*> m_self;
};

}  // namespace bramleyspoke
