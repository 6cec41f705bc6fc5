#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
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
  /// Number of watches that wait for changes.
  std::size_t OpenWatches();
  /// From now on, accepts calls and never answers them.
  void StopAnswering() { m_is_unresponsive = true; }
  /// Answers calls again, but never those that it accepted in between.
  void AnswerAgain() { m_is_unresponsive = false; }
  /// Serves the store at another address too, with these values in place of
  /// the store's for their keys.
  Endpoint ServeView(std::map<std::string, std::string> values);
  /// Keeps a copy of the contents and their revision.
  void TakeCopy();
  /// Goes back to the copy and begins a new era.
  void ReturnToCopy();

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

 private:
  class ViewHandler;

  struct Watch {
    std::int64_t after = 0;
    bool is_view = false;
    std::shared_ptr<HttpExchange> exchange;
    std::unique_ptr<Timer> timer;
  };

  void Handle(std::shared_ptr<HttpExchange> exchange, bool is_view);
  void Change(const std::string& key, const std::string& value);
  void Answer(HttpExchange& exchange, const std::string& body);
  std::string ItemsJson(const char* list, bool is_view) const;
  void AnswerWatches();

  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<ViewHandler> m_view_handler;
  std::unique_ptr<HttpServer> m_view_server;
  /// Values of the view that differ from the store's.
  std::map<std::string, std::string> m_view;
  std::atomic<bool> m_is_unresponsive = false;
  std::map<std::string, std::string> m_values;
  std::int64_t m_revision = 1;
  std::map<std::string, std::string> m_copied_values;
  std::int64_t m_copied_revision = 1;
  int m_era = 1;
  std::map<std::uint64_t, Watch> m_watches;
  std::uint64_t m_last_watch = 0;
  std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
};

/// A request that reached a leaf, and what the leaf announced in its answer.
struct LeafArrival {
  TimePoint at;
  std::string body;
  /// Number of the leaf's run.
  std::int64_t run = 0;
  bool is_leaving = false;
  std::optional<double> request_rate;
  /// Set if the request was refused with a pause.
  std::optional<TimePoint> paused_until;
  /// The leaf was full and did not run the request.
  bool is_refused = false;
};

/// Leaf that answers each request with the body `answer`, and crashes when it
/// begins to run one whose body is `kCrashingBody`.
class FakePlatformLeaf final : public HttpHandler {
 public:
  static constexpr std::string_view kCrashingBody = "crash";

  /// A leaf that crashes needs a fixed port: another connection could take a
  /// dynamic one before the leaf starts again.
  explicit FakePlatformLeaf(std::string id, Endpoint listen = {"127.0.0.1", 0});
  ~FakePlatformLeaf() override;

  /// The leaf's entry in the store.
  std::string Entry(const std::string& service) const {
    return Entry(service, m_address);
  }
  /// The same for callers that reach the leaf at `address`.
  std::string Entry(const std::string& service, const Endpoint& address) const;
  Endpoint Address() const { return m_address; }
  /// After a crash, the leaf starts again at its address after `delay`; then
  /// `on_start` is called on the leaf's thread. Without this call, the leaf
  /// never starts again.
  void RestartAfter(Duration delay, std::function<void()> on_start);
  int Crashes() const { return m_crashes; }

  /// Names this request rate in its answers from now on; none if empty.
  void NameRate(std::optional<double> requests_per_second);
  /// Says in its answers from now on that it is leaving.
  void SayLeaving();
  /// Refuses all requests for this long, with the time that is left.
  void AskForPause(Duration pause);
  /// Answers each request from now on after this time.
  void WorkFor(Duration work);
  /// Runs at most this many requests at a time from now on, and refuses others.
  void LimitSlots(std::size_t slots);
  /// Begins a new run, which announces nothing.
  void StartNewRun();
  /// All requests so far, in order.
  std::vector<LeafArrival> Arrivals();

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

 private:
  void Crash(std::shared_ptr<HttpExchange> exchange);
  void Start();
  void BeginRun();
  HttpResponse MakeAnswer(const HttpRequest& request);

  std::string m_id;
  std::unique_ptr<EventLoop> m_loop;
  Endpoint m_address;
  std::unique_ptr<HttpServer> m_server;
  bool m_is_crashing = false;
  std::atomic<int> m_crashes = 0;
  std::atomic<std::int64_t> m_started_at_ms = 0;
  std::optional<double> m_request_rate;
  bool m_is_leaving = false;
  TimePoint m_paused_until;
  std::vector<LeafArrival> m_arrivals;
  Duration m_work{0};
  std::size_t m_slots = std::numeric_limits<std::size_t>::max();
  std::size_t m_working = 0;
  std::vector<std::unique_ptr<Timer>> m_answer_timers;
  Duration m_restart_delay{0};
  std::function<void()> m_on_start;
  std::unique_ptr<Timer> m_restart_timer;
};

/// Routes of this version as in the store: one route of the host "h" to the
/// service "s", for the paths under `prefix`.
std::string SingleServiceRoutes(int version, const std::string& prefix);

/// Sends a request and waits for the answer; the status is 0 if none arrives.
HttpResponse SendRequest(const Endpoint& server, const HttpRequest& request);

}  // namespace bramleyspoke
