#include "stand_in/faulty_server.h"

#include <utility>

#include "connection/event_loop.h"
#include "stand_in/json_response.h"

namespace bramleyspoke::StandIn {
namespace {

constexpr Duration kListenRetryDelay = std::chrono::milliseconds(10);
constexpr Duration kIdleTimeout = std::chrono::minutes(10);

// Closes the connection instead of responding: the call takes effect and its
// response is lost.
class LostResponseExchange final : public HttpExchange {
 public:
  explicit LostResponseExchange(std::shared_ptr<HttpExchange> inner)
      : m_inner(std::move(inner)) {}

  const HttpRequest& Request() const override { return m_inner->Request(); }
  std::uint64_t ConnectionId() const override {
    return m_inner->ConnectionId();
  }
  void Respond(HttpResponse) override { m_inner->Abort(); }
  void Abort() override { m_inner->Abort(); }
  void OnClientDisconnected(std::function<void()> callback) override {
    m_inner->OnClientDisconnected(std::move(callback));
  }
  void StreamBegin(HttpResponse) override { m_inner->Abort(); }
  void StreamChunk(std::string_view) override {}

 private:
  std::shared_ptr<HttpExchange> m_inner;
};

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.idle_timeout = kIdleTimeout;
  return limits;
}

}  // namespace

// Handles the calls at the control endpoint, which faults do not affect.
class FaultyServer::ControlHandler final : public HttpHandler {
 public:
  explicit ControlHandler(FaultyServer& server) : m_server(server) {}

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    if (exchange->Request().target == "/fault") {
      m_server.HandleFault(*exchange);
    } else {
      m_server.m_handler(std::move(exchange));
    }
  }

 private:
  FaultyServer& m_server;
};

ServicePorts WithDefaultControl(const Endpoint& listen) {
  ServicePorts ports{listen, listen};
  if (listen.port != 0) {
    ++ports.control.port;
  }
  return ports;
}

FaultyServer::FaultyServer(EventLoop& loop,
                           ServicePorts ports,
                           CallHandler handler)
    : m_loop(loop),
      m_ports(std::move(ports)),
      m_handler(std::move(handler)),
      m_calls(loop),
      m_control_handler(std::make_unique<ControlHandler>(*this)) {}

FaultyServer::~FaultyServer() = default;

Result<std::unique_ptr<FaultyServer>>
FaultyServer::Create(EventLoop& loop, ServicePorts ports, CallHandler handler) {
  std::unique_ptr<FaultyServer> server(
      new FaultyServer(loop, std::move(ports), std::move(handler)));
  BOOST_LEAF_CHECK(server->Listen());
  BOOST_LEAF_ASSIGN(server->m_control,
                    HttpServer::Create(loop, server->m_ports.control, Limits(),
                                       *server->m_control_handler));
  return server;
}

Endpoint FaultyServer::Control() const {
  return m_control->Address();
}

Result<void> FaultyServer::Listen() {
  BOOST_LEAF_ASSIGN(
      m_server, HttpServer::Create(m_loop, m_ports.listen, Limits(), *this));
  m_ports.listen = m_server->Address();
  return {};
}

void FaultyServer::EnsureListening() {
  if (m_server == nullptr && !Listen()) {
    m_timer = m_loop.At(std::chrono::steady_clock::now() + kListenRetryDelay,
                        [this] { EnsureListening(); });
  }
}

void FaultyServer::OnBreakWatches(std::function<void()> call) {
  m_break_watches = std::move(call);
}

void FaultyServer::Apply(const CallFault& fault) {
  m_timer = nullptr;
  if (fault.mode == CallFaultMode::kBreakWatches) {
    m_break_watches();
    return;
  }
  m_fault = fault;
  m_affected_calls = 0;
  if (fault.mode == CallFaultMode::kDown) {
    if (m_server != nullptr) {
      m_server->AbortAll();
      m_server = nullptr;
    }
  } else {
    EnsureListening();
  }
  if (fault.duration > Duration::zero()) {
    m_timer = m_loop.At(std::chrono::steady_clock::now() + fault.duration,
                        [this] { Apply(CallFault{}); });
  }
}

void FaultyServer::Handle(std::shared_ptr<HttpExchange> exchange) {
  if (exchange->Request().target == "/fault") {
    HandleFault(*exchange);
  } else if (ConsumeFault()) {
    HandleWithFault(exchange);
  } else {
    m_handler(std::move(exchange));
  }
}

void FaultyServer::HandleFault(HttpExchange& exchange) {
  const Result<CallFault> fault = ParseCallFault(exchange.Request().body);
  const bool may_close_this =
      fault && (fault->mode == CallFaultMode::kDown ||
                fault->mode == CallFaultMode::kBreakWatches);
  // Applied before the response: a client that ends a fault may connect as soon
  // as it has the response.
  if (fault && !may_close_this) {
    Apply(*fault);
  }
  exchange.Respond(JsonResponse(fault ? 200 : 400));
  if (may_close_this) {
    m_loop.Post([this, fault = *fault] { Apply(fault); });
  }
}

void FaultyServer::HandleWithFault(
    const std::shared_ptr<HttpExchange>& exchange) {
  switch (m_fault.mode) {
    case CallFaultMode::kNone:
    case CallFaultMode::kBreakWatches:
      m_handler(exchange);
      break;
    case CallFaultMode::kDown:
      exchange->Abort();
      break;
    case CallFaultMode::kSlow:
      m_calls.After(m_fault.delay, [this, exchange] { m_handler(exchange); });
      break;
    case CallFaultMode::kLoseAnswers:
      m_handler(std::make_shared<LostResponseExchange>(exchange));
      break;
    case CallFaultMode::kUnavailable:
      exchange->Respond(
          JsonResponse(503, R"({"code":14,"message":"unavailable"})"));
      break;
    case CallFaultMode::kGarbage:
      exchange->Respond(JsonResponse(200, "<not json>"));
      break;
  }
}

bool FaultyServer::ConsumeFault() {
  if (m_fault.mode == CallFaultMode::kNone ||
      (m_fault.count > 0 && m_affected_calls >= m_fault.count)) {
    return false;
  }
  ++m_affected_calls;
  return true;
}

}  // namespace bramleyspoke::StandIn
