#include "connection/kj_thread.h"

#include <fcntl.h>

#include <kj/debug.h>
#include <cstdint>

#include <future>
#include <utility>

#include "connection/peer_messages.h"

namespace bramleyspoke {
namespace {

// Reads the wake descriptor and runs the queued calls until `is_stopping` is
// set.
class WakeReader {
 public:
  WakeReader(kj::AsyncIoContext& io, KjQueue& queue, const bool& is_stopping)
      : m_queue(queue),
        m_is_stopping(is_stopping),
        m_stream(io.lowLevelProvider->wrapInputFd(
            fcntl(queue.WakeFd(), F_DUPFD_CLOEXEC, 0),
            kFdFlags)) {}

  kj::Promise<void> Loop() {
    return m_stream->read(&m_count, sizeof(m_count))
        .then([this]() -> kj::Promise<void> {
          m_queue.RunPosted();
          return m_is_stopping ? kj::READY_NOW : Loop();
        });
  }

 private:
  static constexpr unsigned kFdFlags =
      kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
      kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
      kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK;

  KjQueue& m_queue;
  const bool& m_is_stopping;
  kj::Own<kj::AsyncInputStream> m_stream;
  std::uint64_t m_count = 0;
};

}  // namespace

KjThread::KjThread() : m_queue(std::make_shared<KjQueue>()) {
  std::promise<void> ready;
  m_thread = std::thread([this, &ready] {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    m_io = &io;
    ready.set_value();
    Loop();
    m_queue->Close();
    m_io = nullptr;
  });
  ready.get_future().wait();
}

KjThread::~KjThread() {
  Stop(Duration::zero(), [] {});
}

void KjThread::Loop() {
  WakeReader reader(*m_io, *m_queue, m_is_stopping);
  reader.Loop().wait(m_io->waitScope);
}

void KjThread::Run(std::function<void()> call) {
  std::promise<void> done;
  m_queue->Post([&] {
    call();
    done.set_value();
  });
  done.get_future().wait();
}

void KjThread::Stop(Duration delay, std::function<void()> cleanup) {
  if (!m_thread.joinable()) {
    return;
  }
  m_queue->Post([this, delay, cleanup = std::move(cleanup)] {
    m_io->provider->getTimer()
        .afterDelay(ToKj(delay))
        .then([this, cleanup] {
          cleanup();
          m_is_stopping = true;
          m_queue->Post([] {});
        })
        .detach([](kj::Exception&& /*the timer does not fail*/) {});
  });
  m_thread.join();
}

}  // namespace bramleyspoke
