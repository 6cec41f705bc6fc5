#include "process/stop_signal.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

#include "connection/event_loop.h"

namespace bramleyspoke {
namespace {

class AsioStopSignal final : public StopSignal {
 public:
  AsioStopSignal(EventLoop& loop, std::function<void()> on_signal)
      : m_signals(loop.Context(), SIGTERM, SIGINT),
        m_on_signal(std::move(on_signal)) {
    Wait();
  }

 private:
  void Wait() {
    m_signals.async_wait([this](auto error, int) {
      if (error) {
        return;
      }
      m_on_signal();
      Wait();
    });
  }

  boost::asio::signal_set m_signals;
  std::function<void()> m_on_signal;
};

}  // namespace

std::unique_ptr<StopSignal> StopSignal::Create(
    EventLoop& loop,
    std::function<void()> on_signal) {
  return std::make_unique<AsioStopSignal>(loop, std::move(on_signal));
}

}  // namespace bramleyspoke
