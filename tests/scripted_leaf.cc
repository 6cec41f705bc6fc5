#include "scripted_leaf.h"

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

struct ScriptedLeaf::Connection {
  explicit Connection(asio::io_context& context) : socket(context) {}

  tcp::socket socket;
  std::thread thread;
};

ScriptedLeaf::ScriptedLeaf(Script script)
    : m_script(std::move(script)),
      m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
      m_accepting([this] { Accept(); }) {}

ScriptedLeaf::~ScriptedLeaf() {
  m_is_stopping = true;
  ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
  m_accepting.join();
  for (const auto& connection : m_connections) {
    ::shutdown(connection->socket.native_handle(), SHUT_RDWR);
    connection->thread.join();
  }
}

Endpoint ScriptedLeaf::Address() const {
  return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

std::string ScriptedLeaf::Entry(const std::string& service) const {
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

int ScriptedLeaf::Runs(const std::string& request_id) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_runs.find(request_id);
  return found == m_runs.end() ? 0 : found->second;
}

int ScriptedLeaf::Arrivals(const std::string& request_id) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_arrivals.find(request_id);
  return found == m_arrivals.end() ? 0 : found->second;
}

void ScriptedLeaf::Accept() {
  while (!m_is_stopping) {
    auto connection = std::make_unique<Connection>(m_context);
    boost::system::error_code error;
    m_acceptor.accept(connection->socket, error);
    if (error) {
      return;
    }
    if (m_is_refusing) {
      connection->socket.set_option(asio::socket_base::linger(true, 0), error);
      continue;
    }
    ++m_connection_count;
    Connection& accepted = *m_connections.emplace_back(std::move(connection));
    accepted.thread = std::thread([this, &accepted] { Serve(accepted); });
  }
}

LeafBehaviour ScriptedLeaf::Receive(const std::string& request_id,
                                    const std::string& body) {
  ScriptedArrival arrival{request_id, body, 0};
  {
    const std::lock_guard lock(m_mutex);
    arrival.number = ++m_arrivals[request_id];
  }
  LeafBehaviour behaviour = m_script(arrival);
  if (!behaviour.answer.is_not_run) {
    const std::lock_guard lock(m_mutex);
    ++m_runs[request_id];
  }
  return behaviour;
}

void ScriptedLeaf::Serve(Connection& connection) {
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
    const LeafBehaviour behaviour = Receive(id, request.body());
    std::this_thread::sleep_for(behaviour.work);
    std::string bytes = Encode(behaviour.answer, id);
    if (behaviour.second &&
        behaviour.second_time == SecondAnswerTime::kWithFirst) {
      ++m_second_answers;
      bytes += Encode(*behaviour.second, id);
    } else if (behaviour.second) {
      late_answer = Encode(*behaviour.second, id);
    }
    asio::write(connection.socket, asio::buffer(bytes), error);
  }
  // The daemon is told by a shutdown; the socket is closed with the leaf.
  ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
}

}  // namespace bramleyspoke
