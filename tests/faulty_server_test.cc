#include "stand_in/faulty_server.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>

#include "connection/event_loop.h"

namespace bramleyspoke::StandIn {
namespace {

bool CanConnect(const Endpoint& server) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port);
  ::inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const bool is_connected =
      ::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0;
  ::close(socket);
  return is_connected;
}

/// Calls `on_response` when the response is sent.
class FaultExchange final : public HttpExchange {
 public:
  FaultExchange(std::string body, std::function<void()> on_response)
      : m_request{"POST", "/fault", {}, std::move(body)},
        m_on_response(std::move(on_response)) {}

  const HttpRequest& Request() const override { return m_request; }
  std::uint64_t ConnectionId() const override { return 1; }
  void Respond(HttpResponse /*response*/) override { m_on_response(); }
  void Abort() override {}
  void OnClientDisconnected(std::function<void()> /*callback*/) override {}
  void StreamBegin(HttpResponse /*head*/) override {}
  void StreamChunk(std::string_view /*chunk*/) override {}

 private:
  HttpRequest m_request;
  std::function<void()> m_on_response;
};

}  // namespace

TEST_CASE("a service listens again before it confirms the end of a fault") {
  const auto loop = EventLoop::Create();
  const Endpoint any{"127.0.0.1", 0};
  const auto server =
      FaultyServer::Create(*loop, ServicePorts{any, any},
                           [](const std::shared_ptr<HttpExchange>&) {})
          .value();
  CallFault down;
  down.mode = CallFaultMode::kDown;
  server->Apply(down);
  REQUIRE_FALSE(CanConnect(server->Address()));

  bool was_listening = false;
  server->Handle(std::make_shared<FaultExchange>(R"({"mode":"none"})", [&] {
    was_listening = CanConnect(server->Address());
  }));
  CHECK(was_listening);
}

}  // namespace bramleyspoke::StandIn
