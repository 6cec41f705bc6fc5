#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "connection/key_value_store.h"
#include "process/store_pace.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Hears what a `StoreFollower` learns, on its loop.
class StoreListener {
 public:
  virtual ~StoreListener() = default;
  /// All keys under the prefix, as read anew.
  virtual void OnKeys(const std::vector<KeyValueItem>& items) = 0;
  virtual void OnChanges(const std::vector<KeyValueEvent>& events) = 0;
  /// The store no longer answers, or answers again.
  virtual void OnStoreLost(KeyValueStatus status) = 0;
  virtual void OnStoreBack() = 0;
};

/// Keeps up with all keys under a prefix: reads them once, then watches.
class StoreFollower {
 public:
  /// How long a watch waits while the store may be silent: that it answers is
  /// the news, and what it did not answer may be forgotten when it is back.
  static constexpr Duration kProbeTime = std::chrono::milliseconds(200);
  /// Pause after a failure, doubled up to the longest.
  static constexpr Duration kFirstPause = std::chrono::milliseconds(100);
  static constexpr Duration kLongestPause = std::chrono::milliseconds(800);

  StoreFollower(EventLoop& loop,
                KeyValueStore& store,
                std::string prefix,
                StoreListener& listener);
  ~StoreFollower();

  void Start();
  /// From the next watch on.
  void SetPace(const StorePace& pace) { m_pace = pace; }
  /// Another call got no answer: whether the watch under way will is in doubt,
  /// so a short one takes its place.
  void Doubt();
  bool IsLost() const { return m_is_lost; }

 private:
  void ReadPage(const std::string& after);
  void OnPage(KeyValuePage page);
  void Watch();
  void OnChanges(std::uint64_t watch, const KeyValueChanges& changes);
  void OnFailure(KeyValueStatus status);
  void OnSuccess();
  void Continue(Duration pause);

  EventLoop& m_loop;
  KeyValueStore& m_store;
  std::string m_prefix;
  StoreListener& m_listener;
  std::vector<KeyValueItem> m_items;
  /// To watch from; 0 until all keys were read.
  std::int64_t m_revision = 0;
  /// Of the first page of the reading under way.
  std::int64_t m_first_page_revision = 0;
  StorePace m_pace = kServingPace;
  Duration m_pause = kFirstPause;
  bool m_is_lost = false;
  /// Number of the watch under way; 0: none.
  std::uint64_t m_watch = 0;
  std::uint64_t m_last_watch = 0;
  bool m_is_probing = false;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<StoreFollower*> m_self;
};

}  // namespace bramleyspoke
