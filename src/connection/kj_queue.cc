#include "connection/kj_queue.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

#include "connection/guarded_call.h"

namespace bramleyspoke {

KjQueue::KjQueue() : m_wake_fd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

KjQueue::~KjQueue() {
  close(m_wake_fd);
}

void KjQueue::Post(std::function<void()> call) {
  {
    const std::lock_guard lock(m_mutex);
    if (m_is_closed) {
      return;
    }
    m_calls.push_back(std::move(call));
    if (m_calls.size() > 1) {
      return;
    }
  }
  const std::uint64_t one = 1;
  // If the counter is full, the loop is already being woken.
  [[maybe_unused]] const ssize_t written = write(m_wake_fd, &one, sizeof(one));
}

void KjQueue::RunPosted() {
  std::vector<std::function<void()>> calls;
  {
    const std::lock_guard lock(m_mutex);
    calls.swap(m_calls);
  }
  for (const std::function<void()>& call : calls) {
    RunGuarded("peer calls", call);
  }
}

void KjQueue::Close() {
  std::vector<std::function<void()>> discarded;
  const std::lock_guard lock(m_mutex);
  m_is_closed = true;
  discarded.swap(m_calls);
}

}  // namespace bramleyspoke
