#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "connection/http_server.h"
#include "stand_in/call_fault.h"
#include "stand_in/delayed_calls.h"

namespace bramleyspoke {
class EventLoop;
class Timer;
}  // namespace bramleyspoke

namespace bramleyspoke::StandIn {

/// Endpoints that a stand-in service listens on.
struct ServicePorts {
  Endpoint listen;
  /// Serves the same calls without faults, even while the service is down.
  Endpoint control;
};

/// `listen` with a control endpoint on the next port; port 0 gives 0 for both.
ServicePorts WithDefaultControl(const Endpoint& listen);

/// HTTP server that applies the fault set by POST /fault to its calls.
class FaultyServer final : public HttpHandler {
 public:
  using CallHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// The server listens on return; `loop` must outlive it. Calls other than
  /// POST /fault go to `handler`.
  static Result<std::unique_ptr<FaultyServer>> Create(EventLoop& loop,
                                                      ServicePorts ports,
                                                      CallHandler handler);
  ~FaultyServer() override;

  Endpoint Address() const { return m_ports.listen; }
  Endpoint Control() const;
  /// Must be called on the loop's thread.
  void Apply(const CallFault& fault);
  /// Sets the callback that closes the open watches, for `kBreakWatches`.
  void OnBreakWatches(std::function<void()> call);

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

 private:
  class ControlHandler;

  FaultyServer(EventLoop& loop, ServicePorts ports, CallHandler handler);
  Result<void> Listen();
  void EnsureListening();
  void HandleFault(HttpExchange& exchange);
  void HandleWithFault(const std::shared_ptr<HttpExchange>& exchange);
  // Whether the fault applies to the next call; counts the call if so.
  bool ConsumeFault();

  EventLoop& m_loop;
  ServicePorts m_ports;
  CallHandler m_handler;
  DelayedCalls m_calls;
  std::function<void()> m_break_watches;
  std::unique_ptr<ControlHandler> m_control_handler;
  std::unique_ptr<HttpServer> m_control;
  std::unique_ptr<HttpServer> m_server;
  CallFault m_fault;
  std::uint32_t m_affected_calls = 0;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace bramleyspoke::StandIn
