#include "stuttering_leaf.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

#include "platform/wire_names.h"

namespace bramleyspoke {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;

std::string Encode(const LeafAnswer& answer, const std::string& request_id) {
  std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " x\r\n" +
                     std::string(Platform::kRequestId) + ": " + request_id +
                     "\r\n" + std::string(Platform::kStamp) + ": stamp/" +
                     request_id + "\r\n";
  if (answer.is_not_run) {
    text += std::string(Platform::kNotRun) + ": 1\r\n";
  }
  return text + "Content-Length: " + std::to_string(answer.body.size()) +
         "\r\n\r\n" + answer.body;
}

}  // namespace

struct StutteringLeaf::Connection {
  explicit Connection(asio::io_context& context) : socket(context) {}

  tcp::socket socket;
  std::thread thread;
};

StutteringLeaf::StutteringLeaf(Stutter stutter, Duration work)
    : m_stutter(std::move(stutter)),
      m_work(work),
      m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
      m_accepting([this] { Accept(); }) {}

StutteringLeaf::~StutteringLeaf() {
  m_is_stopping = true;
  ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
  m_accepting.join();
  for (const auto& connection : m_connections) {
    ::shutdown(connection->socket.native_handle(), SHUT_RDWR);
    connection->thread.join();
  }
}

Endpoint StutteringLeaf::Address() const {
  return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

std::string StutteringLeaf::Entry(const std::string& service) const {
  return json::serialize(json::object{{"service", service},
                                      {"address", ToString(Address())},
                                      {"zone", "z"},
                                      {"version", "v1"},
                                      {"slots", 8},
                                      {"state", "ready"},
                                      {"cold_remaining_ms", 0},
                                      {"seq", 1},
                                      {"born", 1}});
}

int StutteringLeaf::Runs(const std::string& request_id) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_runs.find(request_id);
  return found == m_runs.end() ? 0 : found->second;
}

void StutteringLeaf::Accept() {
  while (!m_is_stopping) {
    auto connection = std::make_unique<Connection>(m_context);
    boost::system::error_code error;
    m_acceptor.accept(connection->socket, error);
    if (error) {
      return;
    }
    ++m_connection_count;
    Connection& accepted = *m_connections.emplace_back(std::move(connection));
    accepted.thread = std::thread([this, &accepted] { Serve(accepted); });
  }
}

bool StutteringLeaf::IsFirstArrival(const std::string& request_id) {
  const std::lock_guard lock(m_mutex);
  return ++m_arrivals[request_id] == 1;
}

void StutteringLeaf::Serve(Connection& connection) {
  beast::flat_buffer buffer;
  std::string late_answer;
  boost::system::error_code error;
  while (!error) {
    http::request<http::string_body> request;
    http::read(connection.socket, buffer, request, error);
    if (error) {
      break;
    }
    if (!late_answer.empty()) {
      ++m_second_answers;
      asio::write(connection.socket, asio::buffer(late_answer), error);
      late_answer.clear();
    }
    const std::string id(request[std::string(Platform::kRequestId)]);
    const bool is_twice = request.body() == kBody && IsFirstArrival(id);
    const LeafAnswer own{200, false, std::string(kOwnBody)};
    const LeafAnswer& answer = is_twice ? m_stutter.first : own;
    if (!answer.is_not_run) {
      const std::lock_guard lock(m_mutex);
      ++m_runs[id];
    }
    if (!answer.is_not_run) {
      std::this_thread::sleep_for(m_work);
    }
    std::string bytes = Encode(answer, id);
    if (is_twice && m_stutter.time == SecondAnswerTime::kWithFirst) {
      ++m_second_answers;
      bytes += Encode(m_stutter.second, id);
    } else if (is_twice) {
      late_answer = Encode(m_stutter.second, id);
    }
    asio::write(connection.socket, asio::buffer(bytes), error);
  }
  // The daemon is told by a shutdown; the socket is closed with the leaf.
  ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
}

}  // namespace bramleyspoke
