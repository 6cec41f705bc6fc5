#include "connection/event_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>
#include <utility>

#include "connection/guarded_call.h"

namespace bramleyspoke {
namespace {

namespace asio = boost::asio;

class AsioTimer final : public Timer {
 public:
  AsioTimer(asio::io_context& context,
            TimePoint when,
            std::function<void()> call)
      : m_call(std::make_shared<std::function<void()>>(std::move(call))),
        m_timer(context, when) {
    m_timer.async_wait([weak = std::weak_ptr(m_call)](auto error) {
      const auto pending = weak.lock();
      if (!error && pending) {
        (*pending)();
      }
    });
  }

 private:
  // Held weakly by the wait's handler: if the wait completes just before the
  // timer is destroyed, the handler still runs but must not run the call.
  std::shared_ptr<std::function<void()>> m_call;
  asio::steady_timer m_timer;
};

class AsioLoop final : public EventLoop {
 public:
  AsioLoop() : m_work(asio::make_work_guard(m_context)) {}
  ~AsioLoop() override { StopThread(); }

  void Post(std::function<void()> call) override {
    asio::post(m_context, std::move(call));
  }

  std::unique_ptr<Timer> At(TimePoint when,
                            std::function<void()> call) override {
    return std::make_unique<AsioTimer>(m_context, when, std::move(call));
  }

  void Start() override {
    m_thread = std::thread([this] { RunHandlers(); });
  }

  void Run() override { RunHandlers(); }

  void Stop() override { StopThread(); }

  asio::io_context& Context() override { return m_context; }

 private:
  // An exception leaves the context, which goes on with the next handler.
  void RunHandlers() {
    while (!RunGuarded("event loop", [this] { m_context.run(); })) {
    }
  }

  void StopThread() {
    m_context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

}  // namespace

std::unique_ptr<EventLoop> EventLoop::Create() {
  return std::make_unique<AsioLoop>();
}

}  // namespace bramleyspoke
