#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "connection/event_loop.h"
#include "connection/http_server.h"

namespace bramleyspoke {

/// Stand-in for the platform's store that serves a relay's calls and keeps no
/// history of changes.
class FakePlatformStore final : public HttpHandler {
 public:
  FakePlatformStore();
  ~FakePlatformStore() override;

  Endpoint Address() const { return m_server->Address(); }
  void Put(const std::string& key, const std::string& value);
  /// From now on, accepts calls and never answers them.
  void StopAnswering() { m_is_unresponsive = true; }

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

 private:
  struct Watch {
    std::shared_ptr<HttpExchange> exchange;
    std::unique_ptr<Timer> timer;
  };

  void Change(const std::string& key, const std::string& value);
  void Answer(HttpExchange& exchange, const std::string& body);
  std::string ItemsJson(const char* list) const;
  void AnswerWatches();

  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpServer> m_server;
  std::atomic<bool> m_is_unresponsive = false;
  std::map<std::string, std::string> m_values;
  std::int64_t m_revision = 1;
  std::map<std::uint64_t, Watch> m_watches;
  std::uint64_t m_last_watch = 0;
  std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
};

/// Leaf that answers each request with the body `answer`.
class FakePlatformLeaf final : public HttpHandler {
 public:
  explicit FakePlatformLeaf(std::string id);
  ~FakePlatformLeaf() override;

  /// The leaf's entry in the store.
  std::string Entry(const std::string& service) const;

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

 private:
  std::string m_id;
  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpServer> m_server;
};

/// Sends a request and waits for the answer; the status is 0 if none arrives.
HttpResponse SendRequest(const Endpoint& server, const HttpRequest& request);

}  // namespace bramleyspoke
