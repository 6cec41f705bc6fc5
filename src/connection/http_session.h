#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>

#include "connection/http_server.h"

namespace bramleyspoke::Detail {

class HttpSession;

/// State of a server that its sessions share.
struct HttpServerState {
  EventLoop& loop;
  HttpServerLimits limits;
  HttpHandler& handler;
  bool is_shutting_down = false;
  bool has_keep_alive = true;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, std::shared_ptr<HttpSession>> sessions = {};
};

/// One connection of an `HttpServer`: reads requests one after the other and
/// sends the handler's responses.
class HttpSession {
 public:
  static std::shared_ptr<HttpSession> Create(
      std::shared_ptr<HttpServerState> state,
      boost::asio::ip::tcp::socket socket,
      std::uint64_t id);

  virtual ~HttpSession() = default;
  virtual void Start() = 0;
  /// Closes the connection unless a request is being read or handled.
  virtual void CloseIfIdle() = 0;
  /// Refuses the request that is being read, if any.
  virtual void RefuseIfUnread() = 0;
  /// Closes the connection and removes it from the server's sessions.
  virtual void Close() = 0;
};

}  // namespace bramleyspoke::Detail
