#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <thread>

#include "base/time.h"
#include "connection/kj_queue.h"

namespace bramleyspoke {

/// A thread that runs a kj event loop and calls posted from other threads.
class KjThread {
 public:
  /// Starts the thread.
  KjThread();
  ~KjThread();
  KjThread(const KjThread&) = delete;
  KjThread& operator=(const KjThread&) = delete;

  /// Runs `call` on the thread and waits until it returns. Must not be called
  /// on the thread itself.
  void Run(std::function<void()> call);
  /// Serves the loop for `delay`, then runs `cleanup` on the thread, ends the
  /// loop and joins the thread.
  void Stop(Duration delay, std::function<void()> cleanup);

  std::shared_ptr<KjQueue> Queue() const { return m_queue; }
  /// May be called only on the thread itself.
  kj::AsyncIoContext& Io() { return *m_io; }

 private:
  void Loop();

  std::shared_ptr<KjQueue> m_queue;
  kj::AsyncIoContext* m_io = nullptr;
  bool m_is_stopping = false;
  std::thread m_thread;
};

}  // namespace bramleyspoke
