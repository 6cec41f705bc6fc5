#include "connection/http_client.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <utility>

#include "connection/byte_budget.h"
#include "connection/event_loop.h"
#include "connection/guarded_call.h"
#include "connection/socket_options.h"

namespace bramleyspoke {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Bytes that are read at a time, in addition to a head.
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
// Interim responses and responses to other requests that are skipped before one
// call.
constexpr int kMaxSkippedResponses = 16;
constexpr int kFirstFinalStatus = 200;

std::optional<tcp::endpoint> Resolve(const Endpoint& server) {
  beast::error_code error;
  const auto address = asio::ip::make_address(server.host, error);
  if (error) {
    return std::nullopt;
  }
  return tcp::endpoint(address, server.port);
}

http::request<http::string_body> MakeMessage(HttpRequest request,
                                             const std::string& host) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  message.set(http::field::host, host);
  for (const HttpHeader& header : request.headers) {
    if (beast::iequals(header.name, "Host")) {
      message.set(http::field::host, header.value);
    } else {
      message.insert(header.name, header.value);
    }
  }
  if (!request.body.empty() && message.count(http::field::content_type) == 0) {
    message.set(http::field::content_type, "application/json");
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

HttpResponse ConvertResponse(http::response<http::string_body>&& message) {
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  response.content_type = std::string(message[http::field::content_type]);
  for (const auto& field : message) {
    response.headers.push_back(HttpHeader{std::string(field.name_string()),
                                          std::string(field.value())});
  }
  response.body = std::move(message.body());
  return response;
}

HttpFailure FailureOf(beast::error_code error) {
  if (error == beast::error::timeout) {
    return HttpFailure::kTimeout;
  }
  if (error.category() ==
      http::make_error_code(http::error::bad_method).category()) {
    return error == http::error::end_of_stream ||
                   error == http::error::partial_message
               ? HttpFailure::kClosed
               : HttpFailure::kMalformed;
  }
  return HttpFailure::kClosed;
}

// The server may have closed the connection while this process was paused or
// busy, before the loop handled the event. A request sent on such a connection
// would be lost, so the socket itself is checked.
bool IsOpenWithoutInput(beast::tcp_stream& stream) {
  char byte = 0;
  const auto size = ::recv(stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// State of one connection, shared with its pending handlers.
struct ConnectionState {
  explicit ConnectionState(asio::io_context& context) : stream(context) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  HttpResponseLimits limits;
  ByteClaim claim;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  HttpResponseMatcher matches;
  HttpCallback done;
  std::string host;
  bool is_open = false;
  bool is_writing = false;
  ConnectionUse use = ConnectionUse::kFirst;
  /// Bytes arrived before the request was completely written.
  bool is_early = false;
  /// Responses that were read in this call and are not the awaited one.
  int skipped_interim = 0;
  int skipped_others = 0;
};

void FinishCall(ConnectionState& state, HttpOutcome outcome) {
  const HttpCallback done = std::exchange(state.done, nullptr);
  if (done) {
    done(std::move(outcome));
  }
}

void FailCall(ConnectionState& state, beast::error_code error) {
  state.is_open = false;
  state.stream.close();
  state.claim = ByteClaim();
  FinishCall(state, HttpOutcome{std::nullopt, FailureOf(error)});
}

// Closes an idle connection when the server closes it or sends unrequested
// data.
void CloseOnInput(const std::shared_ptr<ConnectionState>& state) {
  state->stream.socket().async_wait(tcp::socket::wait_read,
                                    [weak = std::weak_ptr(state)](auto error) {
                                      const auto state = weak.lock();
                                      if (!state || error || state->done) {
                                        return;
                                      }
                                      state->is_open = false;
                                      state->stream.close();
                                    });
}

void ReadResponse(const std::shared_ptr<ConnectionState>& state);

// A response that begins before the request was written need not be the
// request's, even on a new connection.
bool IsAwaited(const ConnectionState& state, const HttpResponse& response) {
  const ConnectionUse use = state.is_early ? ConnectionUse::kReused : state.use;
  return response.status >= kFirstFinalStatus &&
         (!state.matches || state.matches(response, use));
}

void SkipResponse(const std::shared_ptr<ConnectionState>& state,
                  const HttpResponse& response) {
  ++(response.status < kFirstFinalStatus ? state->skipped_interim
                                         : state->skipped_others);
  if (state->skipped_interim + state->skipped_others > kMaxSkippedResponses) {
    FailCall(*state, http::make_error_code(http::error::unexpected_body));
    return;
  }
  ReadResponse(state);
}

bool IsHead(const ConnectionState& state) {
  return state.request.method() == http::verb::head;
}

// The connection is closed after a response that arrived before the request was
// completely written, that followed a response to another request, or that more
// bytes follow: later responses could be matched to the wrong request. So it is
// after a response to HEAD, as a second one would seem to have a body.
void OnResponse(const std::shared_ptr<ConnectionState>& state) {
  const bool is_in_sync = !state->is_writing && state->skipped_others == 0 &&
                          state->buffer.size() == 0 && !IsHead(*state);
  const bool keep_alive = state->parser->keep_alive() && is_in_sync;
  HttpOutcome outcome{ConvertResponse(state->parser->release()), {}};
  outcome.round_trip = RoundTripOf(state->stream.socket().native_handle());
  state->claim = ByteClaim();
  if (!IsAwaited(*state, *outcome.response)) {
    SkipResponse(state, *outcome.response);
    return;
  }
  state->use = ConnectionUse::kReused;
  state->stream.expires_never();
  if (keep_alive) {
    CloseOnInput(state);
  } else {
    state->is_open = false;
    state->stream.close();
  }
  FinishCall(*state, std::move(outcome));
}

void ReadPart(const std::shared_ptr<ConnectionState>& state);

// Reads a part at a time, so that bytes without end neither fill the memory nor
// hold up other connections of the loop.
void OnPart(const std::shared_ptr<ConnectionState>& state,
            beast::error_code error) {
  state->is_early = state->is_early || state->is_writing;
  if (error) {
    FailCall(*state, error);
  } else if (!state->claim.GrowTo(state->buffer.size() +
                                  state->parser->get().body().size())) {
    FailCall(*state, http::make_error_code(http::error::body_limit));
  } else if (state->parser->is_done()) {
    OnResponse(state);
  } else {
    ReadPart(state);
  }
}

void ReadPart(const std::shared_ptr<ConnectionState>& state) {
  http::async_read_some(
      state->stream, state->buffer, *state->parser,
      [state](auto error, std::size_t) { OnPart(state, error); });
}

void ReadResponse(const std::shared_ptr<ConnectionState>& state) {
  const HttpResponseLimits& limits = state->limits;
  state->buffer.max_size(limits.head_bytes + kReadBytes);
  state->claim = ByteClaim(limits.budget);
  state->parser.emplace();
  state->parser->eager(true);
  // Its length is that of a body which does not follow.
  state->parser->skip(IsHead(*state));
  state->parser->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
  state->parser->body_limit(limits.body_bytes);
  ReadPart(state);
}

class BeastConnection final : public HttpConnection {
 public:
  explicit BeastConnection(std::shared_ptr<ConnectionState> state)
      : m_state(std::move(state)) {
    m_state->is_open = true;
    CloseOnInput(m_state);
  }

  ~BeastConnection() override {
    m_state->done = nullptr;
    m_state->is_open = false;
    m_state->stream.close();
  }

  void Send(HttpRequest request,
            TimePoint deadline,
            HttpCallback done) override {
    SendMatching(std::move(request), deadline, nullptr, std::move(done));
  }

  void SendMatching(HttpRequest request,
                    TimePoint deadline,
                    HttpResponseMatcher matches,
                    HttpCallback done) override {
    if (!m_state->is_open) {
      done(HttpOutcome{std::nullopt, HttpFailure::kConnect});
      return;
    }
    const bool is_encoded = RunGuarded("request to a server", [&] {
      m_state->request = MakeMessage(std::move(request), m_state->host);
    });
    if (!is_encoded) {
      done(HttpOutcome{std::nullopt, HttpFailure::kConnect});
      return;
    }
    m_state->done = std::move(done);
    m_state->matches = std::move(matches);
    m_state->is_writing = true;
    // What is read after the write may have been there before it.
    m_state->is_early = !IsOpenWithoutInput(m_state->stream);
    m_state->skipped_interim = 0;
    m_state->skipped_others = 0;
    m_state->stream.socket().cancel();
    m_state->stream.expires_at(deadline);
    http::async_write(m_state->stream, m_state->request,
                      [state = m_state](auto error, std::size_t) {
                        state->is_writing = static_cast<bool>(error);
                      });
    ReadResponse(m_state);
  }

  void LimitResponses(const HttpResponseLimits& limits) override {
    m_state->limits = limits;
  }

  void LimitSilence(Duration limit) override {
    bramleyspoke::LimitSilence(m_state->stream.socket().native_handle(), limit);
  }

  bool IsOpen() const override {
    return m_state->is_open &&
           (m_state->done || IsOpenWithoutInput(m_state->stream));
  }

 private:
  std::shared_ptr<ConnectionState> m_state;
};

class BeastStream final : public HttpStream,
                          public std::enable_shared_from_this<BeastStream> {
 public:
  BeastStream(asio::io_context& context,
              std::string host,
              HttpRequest request,
              std::function<void(std::string_view)> on_data,
              std::function<void()> on_end)
      : m_stream(context),
        m_request(MakeMessage(std::move(request), host)),
        m_on_data(std::move(on_data)),
        m_on_end(std::move(on_end)) {
    m_parser.body_limit(boost::none);
    m_buffer.max_size(HttpResponseLimits().head_bytes + kReadBytes);
  }

  void Start(const tcp::endpoint& server) {
    m_stream.expires_after(kConnectTimeout);
    m_stream.async_connect(server, [self = shared_from_this()](auto error) {
      if (error) {
        self->End();
        return;
      }
      http::async_write(self->m_stream, self->m_request,
                        [self](auto error, std::size_t) {
                          if (error) {
                            self->End();
                            return;
                          }
                          self->ReadHeader();
                        });
    });
  }

  void Close() {
    m_on_data = nullptr;
    m_on_end = nullptr;
    m_stream.close();
  }

  void End() {
    const auto on_end = std::exchange(m_on_end, nullptr);
    Close();
    if (on_end) {
      on_end();
    }
  }

 private:
  void ReadHeader() {
    http::async_read_header(
        m_stream, m_buffer, m_parser,
        [self = shared_from_this()](auto error, std::size_t) {
          if (error) {
            self->End();
            return;
          }
          self->m_stream.expires_never();
          self->ReadPart();
        });
  }

  void ReadPart() {
    m_parser.get().body().data = m_part.data();
    m_parser.get().body().size = m_part.size();
    http::async_read_some(m_stream, m_buffer, m_parser,
                          [self = shared_from_this()](auto error, std::size_t) {
                            self->OnPart(error);
                          });
  }

  void OnPart(beast::error_code error) {
    const bool is_part = !error || error == http::error::need_buffer;
    const std::size_t size = m_part.size() - m_parser.get().body().size;
    if (size > 0 && m_on_data) {
      m_on_data(std::string_view(m_part.data(), size));
    }
    if (!is_part || m_parser.is_done()) {
      End();
      return;
    }
    if (m_on_data) {
      ReadPart();
    }
  }

  static constexpr std::chrono::seconds kConnectTimeout{5};

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  http::request<http::string_body> m_request;
  http::response_parser<http::buffer_body> m_parser;
  std::array<char, 16384> m_part{};
  std::function<void(std::string_view)> m_on_data;
  std::function<void()> m_on_end;
};

// The user's handle; the stream itself lives as long as its pending handlers.
class StreamHandle final : public HttpStream {
 public:
  explicit StreamHandle(std::shared_ptr<BeastStream> stream)
      : m_stream(std::move(stream)) {}
  ~StreamHandle() override { m_stream->Close(); }

 private:
  std::shared_ptr<BeastStream> m_stream;
};

}  // namespace

void HttpConnection::Open(
    EventLoop& loop,
    const Endpoint& server,
    TimePoint deadline,
    std::function<void(std::unique_ptr<HttpConnection>)> done) {
  const auto endpoint = Resolve(server);
  if (!endpoint) {
    loop.Post([done = std::move(done)] { done(nullptr); });
    return;
  }
  auto state = std::make_shared<ConnectionState>(loop.Context());
  state->host = ToString(server);
  state->stream.expires_at(deadline);
  state->stream.async_connect(
      *endpoint, [state, done = std::move(done)](auto error) {
        if (error) {
          done(nullptr);
          return;
        }
        beast::error_code ignored;
        state->stream.socket().set_option(tcp::no_delay(true), ignored);
        SetKeepAlive(state->stream.socket().native_handle());
        state->stream.expires_never();
        done(std::make_unique<BeastConnection>(state));
      });
}

std::unique_ptr<HttpStream> HttpStream::Open(
    EventLoop& loop,
    const Endpoint& server,
    HttpRequest request,
    std::function<void(std::string_view)> on_data,
    std::function<void()> on_end) {
  auto stream = std::make_shared<BeastStream>(
      loop.Context(), ToString(server), std::move(request), std::move(on_data),
      std::move(on_end));
  const auto endpoint = Resolve(server);
  if (endpoint) {
    stream->Start(*endpoint);
  } else {
    loop.Post([stream] { stream->End(); });
  }
  return std::make_unique<StreamHandle>(std::move(stream));
}

void HttpCall(EventLoop& loop,
              const Endpoint& server,
              HttpRequest request,
              TimePoint deadline,
              HttpCallback done) {
  HttpConnection::Open(
      loop, server, deadline,
      [&loop, request = std::move(request), deadline,
       done = std::move(done)](std::unique_ptr<HttpConnection> opened) mutable {
        if (!opened) {
          done(HttpOutcome{std::nullopt, HttpFailure::kConnect});
          return;
        }
        // The connection is destroyed in a posted call, not in its callback.
        std::shared_ptr<HttpConnection> connection = std::move(opened);
        connection->Send(std::move(request), deadline,
                         [&loop, connection, done](HttpOutcome outcome) {
                           loop.Post([connection] {});
                           done(std::move(outcome));
                         });
      });
}

HttpOutcome HttpCallAndWait(const Endpoint& server,
                            const HttpRequest& request,
                            Duration timeout) {
  const auto loop = EventLoop::Create();
  HttpOutcome result;
  bool is_done = false;
  HttpCall(*loop, server, request, std::chrono::steady_clock::now() + timeout,
           [&](HttpOutcome outcome) {
             result = std::move(outcome);
             is_done = true;
           });
  while (!is_done) {
    loop->Context().run_one();
  }
  loop->Context().poll();
  return result;
}

}  // namespace bramleyspoke
