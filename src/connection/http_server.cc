#include "connection/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <utility>

#include "connection/event_loop.h"
#include "connection/http_session.h"

namespace bramleyspoke {
namespace {

namespace asio = boost::asio;
using Detail::HttpServerState;
using Detail::HttpSession;
using tcp = asio::ip::tcp;

class BeastServer final : public HttpServer {
 public:
  BeastServer(std::shared_ptr<HttpServerState> state, tcp::acceptor acceptor)
      : m_state(std::move(state)),
        m_acceptor(std::make_shared<tcp::acceptor>(std::move(acceptor))),
        m_address{m_acceptor->local_endpoint().address().to_string(),
                  m_acceptor->local_endpoint().port()} {
    Accept(m_state, m_acceptor);
  }

  // Sessions and the state that lists them own each other: unless closed here,
  // they would outlive the server and still call its handler.
  ~BeastServer() override {
    boost::system::error_code ignored;
    m_acceptor->close(ignored);
    BeastServer::AbortAll();
    m_state->sessions.clear();
  }

  Endpoint Address() const override { return m_address; }

  void SetLimits(const HttpServerLimits& limits) override {
    m_state->limits = limits;
  }

  void EndKeepAlive() override { m_state->has_keep_alive = false; }

  void BeginShutdown() override {
    boost::system::error_code ignored;
    m_acceptor->close(ignored);
    m_state->is_shutting_down = true;
    const auto sessions = m_state->sessions;
    for (const auto& [id, session] : sessions) {
      session->CloseIfIdle();
    }
  }

  void RefuseUnread() override {
    const auto sessions = m_state->sessions;
    for (const auto& [id, session] : sessions) {
      session->RefuseIfUnread();
    }
  }

  void AbortAll() override {
    const auto sessions = m_state->sessions;
    for (const auto& [id, session] : sessions) {
      session->Close();
    }
  }

  std::size_t ConnectionCount() const override {
    return m_state->sessions.size();
  }

 private:
  static void Accept(const std::shared_ptr<HttpServerState>& state,
                     const std::shared_ptr<tcp::acceptor>& acceptor) {
    acceptor->async_accept([state, acceptor](auto error, tcp::socket socket) {
      if (!acceptor->is_open()) {
        return;
      }
      if (!error) {
        OnAccepted(state, std::move(socket));
      }
      Accept(state, acceptor);
    });
  }

  static void OnAccepted(const std::shared_ptr<HttpServerState>& state,
                         tcp::socket socket) {
    if (state->sessions.size() >= state->limits.connections) {
      boost::system::error_code ignored;
      socket.close(ignored);
      return;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const std::uint64_t id = ++state->last_id;
    auto session = HttpSession::Create(state, std::move(socket), id);
    state->sessions.emplace(id, session);
    session->Start();
  }

  std::shared_ptr<HttpServerState> m_state;
  std::shared_ptr<tcp::acceptor> m_acceptor;
  Endpoint m_address;
};

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Create(EventLoop& loop,
                                                       const Endpoint& listen,
                                                       HttpServerLimits limits,
                                                       HttpHandler& handler) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(listen.host, error);
  if (error) {
    return Fail("listen", "an IP address, not " + listen.host);
  }
  const tcp::endpoint endpoint(address, listen.port);
  tcp::acceptor acceptor(loop.Context());
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail("listen",
                "a free address; " + ToString(listen) + ": " + error.message());
  }
  auto state =
      std::make_shared<HttpServerState>(HttpServerState{loop, limits, handler});
  return std::unique_ptr<HttpServer>(
      std::make_unique<BeastServer>(std::move(state), std::move(acceptor)));
}

}  // namespace bramleyspoke
