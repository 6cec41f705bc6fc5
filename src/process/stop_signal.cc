#include "process/stop_signal.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

#include "connection/event_loop.h"

namespace bramleyspoke {
namespace {

template <typename Base>
class AsioSignal final : public Base {
 public:
  template <typename... Signals>
  AsioSignal(EventLoop& loop,
             std::function<void()> on_signal,
             Signals... signals)
      : m_signals(loop.Context(), signals...),
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
  return std::make_unique<AsioSignal<StopSignal>>(loop, std::move(on_signal),
                                                  SIGTERM, SIGINT);
}

std::unique_ptr<ReloadSignal> ReloadSignal::Create(
    EventLoop& loop,
    std::function<void()> on_signal) {
  return std::make_unique<AsioSignal<ReloadSignal>>(loop, std::move(on_signal),
                                                    SIGHUP);
}

}  // namespace bramleyspoke
