#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "base/endpoint.h"
#include "base/time.h"

namespace bramleyspoke {

/// When a leaf sends its second answer to a request.
enum class SecondAnswerTime {
  /// Together with the first one.
  kWithFirst,
  /// Where the next response on the connection is expected.
  kBeforeNext,
};

/// An answer of a leaf, without the headers that identify the request.
struct LeafAnswer {
  int status = 200;
  /// The leaf says that it did not run the request.
  bool is_not_run = false;
  std::string body;
};

/// How a leaf treats one arrival of a request.
struct LeafBehaviour {
  LeafAnswer answer;
  /// Time before the answer; a leaf that does not run the request needs none.
  Duration work{0};
  /// Sent in addition to `answer`.
  std::optional<LeafAnswer> second;
  SecondAnswerTime second_time = SecondAnswerTime::kBeforeNext;
};

/// An arrival of a request at a leaf.
struct ScriptedArrival {
  std::string request_id;
  std::string body;
  /// From 1, among those of this request at this leaf.
  int number = 0;
};

/// Leaf whose answers are written by a test, byte by byte.
class ScriptedLeaf {
 public:
  /// Called on the threads of the leaf's connections.
  using Script = std::function<LeafBehaviour(const ScriptedArrival&)>;

  explicit ScriptedLeaf(Script script);
  ~ScriptedLeaf();

  /// The leaf's entry in the store.
  std::string Entry(const std::string& service) const;
  Endpoint Address() const;
  /// How often the leaf has begun to run the request.
  int Runs(const std::string& request_id) const;
  /// How often the request has reached the leaf.
  int Arrivals(const std::string& request_id) const;
  /// Sets whether connections are reset as soon as they are accepted, as by a
  /// leaf at its connection limit.
  void RefuseConnections(bool is_refusing) { m_is_refusing = is_refusing; }
  /// Second answers sent so far.
  int SecondAnswers() const { return m_second_answers; }
  /// Connections accepted so far.
  int Connections() const { return m_connection_count; }

 private:
  struct Connection;

  void Accept();
  void Serve(Connection& connection);
  LeafBehaviour Receive(const std::string& request_id, const std::string& body);

  const Script m_script;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<bool> m_is_refusing = false;
  std::atomic<int> m_second_answers = 0;
  std::atomic<int> m_connection_count = 0;
  mutable std::mutex m_mutex;
  std::map<std::string, int> m_arrivals;
  std::map<std::string, int> m_runs;
  std::list<std::unique_ptr<Connection>> m_connections;
  std::thread m_accepting;
};

}  // namespace bramleyspoke
