#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "base/time.h"
#include "connection/key_value_store.h"
#include "connection/peer.h"
#include "process/store_history.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Watches of peers that follow the store through this daemon.
///
/// All calls must be made on the loop's thread; replies are called there.
class PeerWatches {
 public:
  /// Further watches are refused. A daemon is the source of few peers; views of
  /// the fleet that differ may add some.
  static constexpr std::size_t kMaxWatches = 64;
  /// Longest time that a watch waits.
  static constexpr Duration kMaxWait = std::chrono::seconds(6);

  using Reply = std::function<void(KeyValueChanges)>;

  explicit PeerWatches(EventLoop& loop);
  ~PeerWatches();

  /// Answers a peer's watch as soon as there are changes after its revision, or
  /// without changes after its wait. It gets `kHistoryGone` if the changes
  /// after its revision are not known here.
  void Watch(const PeerWatch& watch, Reply reply);
  /// Records the response to this daemon's own watch from `after`.
  void Append(std::uint64_t era,
              std::int64_t after,
              const KeyValueChanges& changes);
  /// Forgets the changes and ends the outstanding watches with `kRefused`, as
  /// this daemon no longer follows the store.
  void Interrupt();
  /// Refuses all watches from now on.
  void BeginLeaving();

 private:
  struct Waiting {
    std::int64_t revision = 0;
    TimePoint until;
    Reply reply;
  };

  bool MustWait(std::int64_t revision) const;
  void AnswerReady();
  void AnswerExpired();
  void ArmTimer();

  EventLoop& m_loop;
  StoreHistory m_history;
  std::uint64_t m_era = 0;
  bool m_is_leaving = false;
  std::list<Waiting> m_waiting;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace bramleyspoke
