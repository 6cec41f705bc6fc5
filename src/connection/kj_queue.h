#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace bramleyspoke {

/// Queue of calls to run on an event loop's thread; outlives the loop.
class KjQueue {
 public:
  KjQueue();
  ~KjQueue();
  KjQueue(const KjQueue&) = delete;
  KjQueue& operator=(const KjQueue&) = delete;

  /// Queues `call`, or discards it once the queue is closed. Thread-safe.
  void Post(std::function<void()> call);
  /// Runs the queued calls; must be called on the loop's thread.
  void RunPosted();
  /// Discards the queued calls and all later ones.
  void Close();
  /// Descriptor that becomes readable when calls are queued.
  int WakeFd() const { return m_wake_fd; }

 private:
  std::mutex m_mutex;
  std::vector<std::function<void()>> m_calls;
  bool m_is_closed = false;
  int m_wake_fd;
};

}  // namespace bramleyspoke
