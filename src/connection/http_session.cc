#include "connection/http_session.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "connection/event_loop.h"
#include "connection/guarded_call.h"
#include "connection/http_refusal.h"
#include "connection/socket_options.h"

namespace bramleyspoke::Detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Owned by the server's table and by its pending handlers.
class Session final : public HttpSession,
                      public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<HttpServerState> state,
          tcp::socket socket,
          std::uint64_t id)
      : m_state(std::move(state)), m_stream(std::move(socket)), m_id(id) {}

  std::uint64_t Id() const { return m_id; }
  std::uint64_t RequestCount() const { return m_requests; }

  std::optional<Duration> RoundTrip() {
    return RoundTripOf(m_stream.socket().native_handle());
  }

  void Start() override {
    if (m_state->limits.accept_delay == Duration::zero()) {
      ReadFirstByte();
      return;
    }
    const TimePoint when =
        std::chrono::steady_clock::now() + m_state->limits.accept_delay;
    m_accept_timer = m_state->loop.At(
        when, [self = shared_from_this()] { self->ReadFirstByte(); });
  }

  // Posted behind the handler of bytes that were just read: a request that has
  // arrived is answered. Bytes that the socket still holds are read at once.
  void CloseIfIdle() override {
    asio::post(m_stream.get_executor(), [self = shared_from_this()] {
      beast::error_code ignored;
      if (self->m_is_idle && self->m_stream.socket().available(ignored) == 0) {
        self->Close();
      }
    });
  }

  void RefuseIfUnread() override {
    if (m_request_timer) {
      m_read_end = ReadEnd::kShutDown;
      m_stream.cancel();
    }
  }

  void Close() override {
    m_is_idle = false;
    if (m_is_closed) {
      return;
    }
    m_is_closed = true;
    m_accept_timer = nullptr;
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_stream.close();
    asio::post(m_stream.get_executor(), [self = shared_from_this()] {
      self->m_state->sessions.erase(self->m_id);
    });
  }

  void Write(HttpResponse response) {
    if (m_is_closed) {
      return;
    }
    m_on_disconnect = nullptr;
    m_response = MakeHead(response);
    m_response.body() = std::move(response.body);
    m_response.prepare_payload();
    if (m_is_head_request) {
      // The client would take a body for the next response.
      m_response.body().clear();
      m_response.content_length(boost::none);
    }
    m_stream.expires_after(m_state->limits.request_timeout);
    http::async_write(m_stream, m_response,
                      [self = shared_from_this()](auto error, std::size_t) {
                        self->OnWritten(error);
                      });
  }

  void BeginStream(const HttpResponse& head) {
    if (m_is_closed) {
      return;
    }
    m_response = MakeHead(head);
    m_response.chunked(true);
    m_response.keep_alive(false);
    std::string text;
    http::response<http::empty_body> only_head(m_response.base());
    http::response_serializer<http::empty_body> serializer(only_head);
    beast::error_code error;
    serializer.split(true);
    while (!serializer.is_header_done()) {
      serializer.next(error, [&](auto& inner, const auto& buffers) {
        text += beast::buffers_to_string(buffers);
        inner = {};
        serializer.consume(beast::buffer_bytes(buffers));
      });
    }
    Queue(std::move(text));
  }

  void WriteChunk(std::string_view chunk) {
    if (m_is_closed || chunk.empty()) {
      return;
    }
    Queue(beast::buffers_to_string(
        http::make_chunk(asio::buffer(chunk.data(), chunk.size()))));
  }

  void SetOnDisconnect(std::function<void()> callback) {
    if (m_is_closed) {
      asio::post(m_stream.get_executor(), std::move(callback));
      return;
    }
    m_on_disconnect = std::move(callback);
    WatchForDisconnect();
  }

 private:
  void ReadFirstByte() {
    m_is_idle = true;
    if (m_state->is_shutting_down) {
      Close();
      return;
    }
    if (m_buffer.size() > 0) {
      ReadRequest();
      return;
    }
    m_stream.expires_after(m_state->limits.idle_timeout);
    m_stream.async_read_some(
        m_buffer.prepare(kReadSize),
        [self = shared_from_this()](auto error, std::size_t size) {
          if (error || self->m_is_closed) {
            self->Close();
            return;
          }
          self->m_buffer.commit(size);
          self->ReadRequest();
        });
  }

  void ReadRequest() {
    m_is_idle = false;
    // The parser limits neither a chunk's header nor the trailer.
    m_buffer.max_size(std::max(m_state->limits.header_bytes, m_buffer.size()) +
                      kReadSize);
    m_parser.emplace();
    m_parser->header_limit(
        static_cast<std::uint32_t>(m_state->limits.header_bytes));
    m_parser->body_limit(m_state->limits.body_bytes);
    m_stream.expires_never();
    StartRequestTimer();
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](auto error, std::size_t) {
                       self->OnRequest(error);
                     });
  }

  // A separate timer is used because the stream's own timer would close the
  // socket before the refusal is sent.
  void StartRequestTimer() {
    const TimePoint when =
        std::chrono::steady_clock::now() + m_state->limits.request_timeout;
    m_request_timer = m_state->loop.At(when, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->m_read_end = ReadEnd::kTimedOut;
        self->m_stream.cancel();
      }
    });
  }

  void OnRequest(beast::error_code error);

  // Closes the connection after the response, since the start of the next
  // request is unknown.
  void Refuse(int status, RefusalReason reason, std::string_view detail) {
    m_keep_alive = false;
    Write(MakeUnreadRequestRefusal(status, reason, detail));
  }

  void OnWritten(beast::error_code error) {
    if (error || !m_response.keep_alive() || m_state->is_shutting_down) {
      Close();
      return;
    }
    ReadFirstByte();
  }

  http::response<http::string_body> MakeHead(const HttpResponse& response) {
    http::response<http::string_body> head;
    head.result(static_cast<unsigned>(response.status));
    head.version(11);
    if (!response.content_type.empty()) {
      head.set(http::field::content_type, response.content_type);
    }
    for (const HttpHeader& header : response.headers) {
      head.insert(header.name, header.value);
    }
    const bool is_last = HeaderValue(response.headers, "Connection") == "close";
    m_keep_alive = m_keep_alive && !is_last && m_state->has_keep_alive;
    head.keep_alive(m_keep_alive && !m_state->is_shutting_down);
    return head;
  }

  void Queue(std::string text) {
    m_outgoing.push_back(std::move(text));
    if (m_outgoing.size() == 1) {
      WriteQueued();
    }
  }

  void WriteQueued() {
    m_stream.expires_never();
    asio::async_write(m_stream, asio::buffer(m_outgoing.front()),
                      [self = shared_from_this()](auto error, std::size_t) {
                        if (error || self->m_is_closed) {
                          self->OnDisconnect();
                          return;
                        }
                        self->m_outgoing.pop_front();
                        if (!self->m_outgoing.empty()) {
                          self->WriteQueued();
                        }
                      });
  }

  // A socket that is readable with no bytes available was closed by the client.
  void WatchForDisconnect() {
    m_stream.expires_never();
    m_stream.socket().async_wait(
        tcp::socket::wait_read, [self = shared_from_this()](auto error) {
          if (error || !self->m_on_disconnect) {
            return;
          }
          beast::error_code ignored;
          if (self->m_stream.socket().available(ignored) == 0) {
            self->OnDisconnect();
          }
        });
  }

  void OnDisconnect() {
    const auto callback = std::exchange(m_on_disconnect, nullptr);
    Close();
    if (callback) {
      callback();
    }
  }

  /// How the reading of a request ended.
  enum class ReadEnd {
    kArrived,
    kTimedOut,
    kShutDown,
  };

  static constexpr std::size_t kReadSize = std::size_t{16} * 1024;

  std::shared_ptr<HttpServerState> m_state;
  beast::tcp_stream m_stream;
  std::uint64_t m_id;
  std::uint64_t m_requests = 0;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  http::response<http::string_body> m_response;
  std::deque<std::string> m_outgoing;
  std::function<void()> m_on_disconnect;
  std::unique_ptr<Timer> m_accept_timer;
  std::unique_ptr<Timer> m_request_timer;
  ReadEnd m_read_end = ReadEnd::kArrived;
  bool m_keep_alive = true;
  bool m_is_idle = false;
  bool m_is_head_request = false;
  bool m_is_closed = false;
};

class Exchange final : public HttpExchange {
 public:
  Exchange(std::shared_ptr<Session> session, HttpRequest request)
      : m_session(std::move(session)), m_request(std::move(request)) {}

  ~Exchange() override {
    if (!m_is_done) {
      m_session->Close();
    }
  }

  const HttpRequest& Request() const override { return m_request; }

  std::uint64_t ConnectionId() const override { return m_session->Id(); }

  std::optional<Duration> RoundTrip() const override {
    return m_session->RoundTrip();
  }

  bool IsFirstOnConnection() const override {
    return m_session->RequestCount() == 1;
  }

  void Respond(HttpResponse response) override {
    if (!std::exchange(m_is_done, true)) {
      m_session->Write(std::move(response));
    }
  }

  void Abort() override {
    m_is_done = true;
    m_session->Close();
  }

  void OnClientDisconnected(std::function<void()> callback) override {
    if (!m_is_done) {
      m_session->SetOnDisconnect(std::move(callback));
    }
  }

  void StreamBegin(HttpResponse head) override {
    m_is_done = true;
    m_session->BeginStream(head);
  }

  void StreamChunk(std::string_view chunk) override {
    m_session->WriteChunk(chunk);
  }

 private:
  std::shared_ptr<Session> m_session;
  HttpRequest m_request;
  bool m_is_done = false;
};

HttpRequest ConvertRequest(http::request<http::string_body>&& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back(HttpHeader{std::string(field.name_string()),
                                         std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

using Parser = http::request_parser<http::string_body>;

// Without a known coding, the end of the body is unknown: its bytes could be
// taken for the next request.
bool HasUnknownCoding(const Parser& parser) {
  const auto codings = parser.get().equal_range(http::field::transfer_encoding);
  return codings.first != codings.second &&
         (std::next(codings.first) != codings.second ||
          !beast::iequals(codings.first->value(), "chunked"));
}

// Such a request cannot be passed on.
bool IsTraceWithBody(const Parser& parser) {
  return parser.get().method() == http::verb::trace &&
         !parser.get().body().empty();
}

void Session::OnRequest(beast::error_code error) {
  m_request_timer.reset();
  if (m_is_closed) {
    return;
  }
  if (error && m_read_end == ReadEnd::kTimedOut) {
    Refuse(408, RefusalReason::kBadRequest,
           "the request took too long to arrive");
    return;
  }
  if (error && m_read_end == ReadEnd::kShutDown) {
    Refuse(503, RefusalReason::kShuttingDown, "the server is shutting down");
    return;
  }
  if (error == http::error::end_of_stream || error == beast::error::timeout ||
      (error &&
       error.category() !=
           http::make_error_code(http::error::bad_method).category())) {
    Close();
    return;
  }
  if (error) {
    const bool is_too_large = error == http::error::body_limit ||
                              error == http::error::header_limit ||
                              error == http::error::buffer_overflow;
    Refuse(is_too_large ? 413 : 400, RefusalReason::kBadRequest,
           error.message());
    return;
  }
  if (HasUnknownCoding(*m_parser)) {
    Refuse(501, RefusalReason::kBadRequest, "unknown transfer coding");
    return;
  }
  if (IsTraceWithBody(*m_parser)) {
    Refuse(400, RefusalReason::kBadRequest, "TRACE with a body");
    return;
  }
  m_stream.expires_never();
  m_keep_alive = m_parser->keep_alive();
  m_is_head_request = m_parser->get().method() == http::verb::head;
  ++m_requests;
  const auto exchange = std::make_shared<Exchange>(
      shared_from_this(), ConvertRequest(m_parser->release()));
  const std::string place =
      exchange->Request().method + " " + exchange->Request().target;
  if (!RunGuarded(place, [&] { m_state->handler.Handle(exchange); })) {
    HttpResponse response;
    response.status = 500;
    response.body = "internal error\n";
    exchange->Respond(std::move(response));
  }
}

}  // namespace

std::shared_ptr<HttpSession> HttpSession::Create(
    std::shared_ptr<HttpServerState> state,
    tcp::socket socket,
    std::uint64_t id) {
  return std::make_shared<Session>(std::move(state), std::move(socket), id);
}

}  // namespace bramleyspoke::Detail
