#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <map>
#include <memory>
#include <mutex>
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

/// How a leaf answers the first arrival of some requests.
struct Stutter {
  LeafAnswer first;
  LeafAnswer second;
  SecondAnswerTime time = SecondAnswerTime::kBeforeNext;
};

/// Leaf that answers the first arrival of each request whose body is `kBody`
/// twice. It runs all other arrivals, and answers them with 200 and `kOwnBody`.
class StutteringLeaf {
 public:
  static constexpr std::string_view kBody = "stutter";
  static constexpr std::string_view kOwnBody = "own answer";

  StutteringLeaf(Stutter stutter, Duration work);
  ~StutteringLeaf();

  /// The leaf's entry in the store.
  std::string Entry(const std::string& service) const;
  Endpoint Address() const;
  /// How often the leaf has begun to run the request.
  int Runs(const std::string& request_id) const;
  /// Second answers sent so far.
  int SecondAnswers() const { return m_second_answers; }
  int Connections() const { return m_connection_count; }

 private:
  struct Connection;

  void Accept();
  void Serve(Connection& connection);
  /// Whether the answer is to be given twice.
  bool IsFirstArrival(const std::string& request_id);

  const Stutter m_stutter;
  const Duration m_work;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<int> m_second_answers = 0;
  std::atomic<int> m_connection_count = 0;
  mutable std::mutex m_mutex;
  std::map<std::string, int> m_arrivals;
  std::map<std::string, int> m_runs;
  std::list<std::unique_ptr<Connection>> m_connections;
  std::thread m_accepting;
};

}  // namespace bramleyspoke
