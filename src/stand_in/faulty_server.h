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

/// Where a stand-in service listens.
struct ServicePorts {
  Endpoint listen;
  /// Takes the same calls without faults, also while the service is down.
  Endpoint control;
};

/// `control` defaults to the port after the service's own.
ServicePorts WithDefaultControl(const Endpoint& listen);

/// HTTP service whose calls suffer the fault ordered by POST /fault.
class FaultyServer final : public HttpHandler {
 public:
  using CallHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Listens at once; calls other than POST /fault go to `handler`.
  static Result<std::unique_ptr<FaultyServer>> Create(EventLoop& loop,
                                                      ServicePorts ports,
                                                      CallHandler handler);
  ~FaultyServer() override;

  Endpoint Address() const { return m_ports.listen; }
  Endpoint Control() const;
  /// On the loop's thread.
  void Apply(const CallFault& fault);
  /// Called for `kBreakWatches`.
  void OnBreakWatches(std::function<void()> call);

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

 private:
  class ControlHandler;

  FaultyServer(EventLoop& loop, ServicePorts ports, CallHandler handler);
  Result<void> Listen();
  void ListenAgain();
  void HandleFault(HttpExchange& exchange);
  void Suffer(const std::shared_ptr<HttpExchange>& exchange);
  bool TakeFault();

  EventLoop& m_loop;
  ServicePorts m_ports;
  CallHandler m_handler;
  DelayedCalls m_calls;
  std::function<void()> m_break_watches;
  std::unique_ptr<ControlHandler> m_control_handler;
  std::unique_ptr<HttpServer> m_control;
  std::unique_ptr<HttpServer> m_server;
  CallFault m_fault;
  std::uint32_t m_suffered = 0;
  std::unique_ptr<Timer> m_end;
};

}  // namespace bramleyspoke::StandIn
