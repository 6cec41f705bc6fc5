#include "silent_proxy.h"

#include <doctest/doctest.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <vector>

#include "loop_runner.h"

namespace bramleyspoke {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

// Bytes of a connection's requests that are kept to tell connections apart.
constexpr std::size_t kMaxKeptText = 65536;

tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.host), endpoint.port};
}

// Makes the kernel drop every segment that arrives for the socket, before TCP
// sees it.
void DropIncomingSegments(int socket) {
  sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program{1, &drop_all};
  REQUIRE(::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                       sizeof(program)) == 0);
}

void AcceptIncomingSegments(int socket) {
  int unused = 0;
  ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
}

// One proxied connection.
class Link : public std::enable_shared_from_this<Link> {
 public:
  explicit Link(tcp::socket client)
      : m_client(std::move(client)), m_server(m_client.get_executor()) {}

  void Start(const tcp::endpoint& server) {
    m_server.async_connect(server, [self = shared_from_this()](Error error) {
      if (error) {
        self->Close();
        return;
      }
      self->ForwardToServer();
      self->ForwardToClient();
    });
  }

  bool IsOpen() const { return m_client.is_open() && !m_is_silent; }
  bool HasSent(std::string_view text) const {
    return m_sent.find(text) != std::string::npos;
  }

  void BeSilent(SilenceKind kind) {
    m_is_silent = true;
    if (kind == SilenceKind::kUnacknowledged) {
      DropIncomingSegments(m_client.native_handle());
    }
  }

  void DropSegments() {
    if (m_client.is_open()) {
      DropIncomingSegments(m_client.native_handle());
    }
  }

  void AcceptSegments() {
    if (m_client.is_open()) {
      AcceptIncomingSegments(m_client.native_handle());
    }
  }

  void Close() {
    m_client.close();
    m_server.close();
  }

  void Reset() {
    if (m_client.is_open()) {
      m_client.set_option(tcp::socket::linger(true, 0));
    }
    Close();
  }

 private:
  using Buffer = std::array<char, 16384>;

  void ForwardToServer() {
    m_client.async_read_some(
        asio::buffer(m_to_server),
        [self = shared_from_this()](Error error, std::size_t size) {
          if (error) {
            self->Close();
            return;
          }
          self->Keep({self->m_to_server.data(), size});
          self->Write(self->m_server, self->m_to_server, size,
                      &Link::ForwardToServer);
        });
  }

  void ForwardToClient() {
    m_server.async_read_some(
        asio::buffer(m_to_client),
        [self = shared_from_this()](Error error, std::size_t size) {
          // A silent connection stays open although the server closes it.
          if (error && !self->m_is_silent) {
            self->Close();
          }
          if (!error) {
            self->Write(self->m_client, self->m_to_client, size,
                        &Link::ForwardToClient);
          }
        });
  }

  // What arrives on a silent connection is read and dropped.
  void Write(tcp::socket& to,
             const Buffer& buffer,
             std::size_t size,
             void (Link::*next)()) {
    if (m_is_silent) {
      (this->*next)();
      return;
    }
    asio::async_write(to, asio::buffer(buffer, size),
                      [self = shared_from_this(), next](Error error, auto) {
                        if (error) {
                          self->Close();
                          return;
                        }
                        (*self.*next)();
                      });
  }

  void Keep(std::string_view sent) {
    m_sent.append(sent);
    if (m_sent.size() > kMaxKeptText) {
      m_sent.erase(0, m_sent.size() - kMaxKeptText);
    }
  }

  tcp::socket m_client;
  tcp::socket m_server;
  Buffer m_to_server;
  Buffer m_to_client;
  std::string m_sent;
  bool m_is_silent = false;
};

class LoopbackProxy final : public SilentProxy {
 public:
  explicit LoopbackProxy(const Endpoint& server)
      : m_server(ToAsio(server)),
        m_acceptor(m_runner.Loop().Context(), ToAsio({"127.0.0.1", 0})) {
    m_runner.Run([this] {
      Accept();
      return true;
    });
  }

  ~LoopbackProxy() override {
    m_runner.Run([this] {
      m_acceptor.close();
      for (const auto& link : m_links) {
        link->Close();
      }
      return true;
    });
  }

  Endpoint Address() const override {
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
  }

  std::size_t SilenceOpen(SilenceKind kind, std::string_view text) override {
    return m_runner.Run([this, kind, text] {
      std::size_t count = 0;
      for (const auto& link : m_links) {
        if (link->IsOpen() && link->HasSent(text)) {
          link->BeSilent(kind);
          ++count;
        }
      }
      return count;
    });
  }

  void ResetOpen() override {
    m_runner.Run([this] {
      for (const auto& link : m_links) {
        link->Reset();
      }
      return true;
    });
  }

  void BeginCut(CutKind kind) override {
    m_runner.Run([this, kind] {
      m_address = m_acceptor.local_endpoint();
      if (kind == CutKind::kHangs) {
        DropIncomingSegments(m_acceptor.native_handle());
      } else {
        m_acceptor.close();
      }
      for (const auto& link : m_links) {
        if (kind == CutKind::kHangs) {
          link->DropSegments();
        } else if (kind == CutKind::kResets) {
          link->Reset();
        }
      }
      return true;
    });
  }

  void EndCut() override {
    m_runner.Run([this] {
      if (m_acceptor.is_open()) {
        AcceptIncomingSegments(m_acceptor.native_handle());
        for (const auto& link : m_links) {
          link->AcceptSegments();
        }
      } else {
        m_acceptor = tcp::acceptor(m_runner.Loop().Context(), m_address);
        Accept();
      }
      return true;
    });
  }

  void RefuseAll() override {
    m_runner.Run([this] {
      m_is_refusing = true;
      for (const auto& link : m_links) {
        link->Close();
      }
      return true;
    });
  }

  void ServeAgain() override {
    m_runner.Run([this] {
      m_is_refusing = false;
      return true;
    });
  }

 private:
  void Accept() {
    m_acceptor.async_accept([this](Error error, tcp::socket client) {
      if (error) {
        return;
      }
      if (m_is_refusing) {
        client.close();
        Accept();
        return;
      }
      m_links.push_back(std::make_shared<Link>(std::move(client)));
      m_links.back()->Start(m_server);
      Accept();
    });
  }

  // Declared first, as sockets must not outlive their loop.
  LoopRunner m_runner;
  tcp::endpoint m_server;
  std::vector<std::shared_ptr<Link>> m_links;
  bool m_is_refusing = false;
  tcp::endpoint m_address;
  tcp::acceptor m_acceptor;
};

}  // namespace

std::unique_ptr<SilentProxy> SilentProxy::Create(const Endpoint& server) {
  return std::make_unique<LoopbackProxy>(server);
}

}  // namespace bramleyspoke
