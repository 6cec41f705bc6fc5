#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace bramleyspoke {

/// Calls for an event loop's thread; outlives the loop.
class KjQueue {
 public:
  KjQueue();
  ~KjQueue();
  KjQueue(const KjQueue&) = delete;
  KjQueue& operator=(const KjQueue&) = delete;

  /// Takes `call` for the loop's thread; dropped once closed. Any thread.
  void Post(std::function<void()> call);
  /// Takes out and runs what was posted; the loop's thread.
  void RunPosted();
  /// Drops what was posted and all that comes later.
  void Close();
  /// Becomes readable when calls wait.
  int WakeFd() const { return m_wake_fd; }

 private:
  std::mutex m_mutex;
  std::vector<std::function<void()>> m_calls;
  bool m_is_closed = false;
  int m_wake_fd;
};

}  // namespace bramleyspoke
