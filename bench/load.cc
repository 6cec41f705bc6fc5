#include "load.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <utility>

#include "caller_message.h"
#include "connection/event_loop.h"
#include "connection/http_client.h"
#include "fleet.h"

namespace bramleyspoke::Harness {
namespace {

constexpr std::chrono::milliseconds kAddressQueryRetryDelay{20};
constexpr std::chrono::milliseconds kResendDelay{50};
constexpr std::chrono::milliseconds kAddressQueryTimeout{500};
// Time after the deadline that a caller still waits for a response.
constexpr std::chrono::milliseconds kResponseGrace{1500};
constexpr std::chrono::seconds kStopTimeout{30};
// The daemon that issued the request ids no longer runs; the caller has to
// query for a new prefix.
constexpr std::string_view kHolderGone = "holder_gone";

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// A request in flight.
struct PendingRequest {
  std::size_t service = 0;
  CallerEvent event;
  std::uint32_t resends_left = 0;
};

using PendingPtr = std::shared_ptr<PendingRequest>;

// Addresses of a service, from the last address answer.
struct CachedAddresses {
  std::vector<Endpoint> addresses;
  std::string request_id_prefix;
  TimePoint received_at;
  TimePoint valid_until;
  bool is_query_pending = false;
  std::vector<PendingPtr> waiting;
  std::size_t next = 0;
};

class OpenLoopLoad final : public LoadGenerator {
 public:
  explicit OpenLoopLoad(LoadOptions options)
      : m_options(std::move(options)),
        m_loop(EventLoop::Create()),
        m_arrival_random(m_options.seed),
        m_daemon_random(m_options.seed + 1),
        m_address_cache(m_options.services.size()),
        m_timers(m_options.services.size()) {}

  ~OpenLoopLoad() override {
    m_loop->Stop();
    m_pool.clear();
  }

  void Start() override {
    m_loop->Start();
    m_loop->Post([this] {
      for (std::size_t i = 0; i < m_options.services.size(); ++i) {
        ScheduleNext(i, Now());
      }
    });
  }

  void Stop() override {
    m_is_stopping = true;
    WaitUntil([this] { return m_in_flight == 0; }, kStopTimeout);
  }

  std::size_t EndedCount() const override { return m_ended; }
  std::size_t FullAnswerCount() const override { return m_full_answers; }

  std::vector<CallerEvent> TakeEvents() override {
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_events, {});
  }

 private:
  Duration NextInterval(std::size_t service) {
    const double mean = 1 / m_options.services[service].rate;
    const double seconds =
        m_options.is_poisson
            ? std::exponential_distribution<double>(1 / mean)(m_arrival_random)
            : mean;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
  }

  void ScheduleNext(std::size_t service, TimePoint last) {
    const TimePoint due = last + NextInterval(service);
    m_timers[service] = m_loop->At(due, [this, service, due] {
      if (m_is_stopping) {
        return;
      }
      OnArrival(service, due);
      ScheduleNext(service, due);
    });
  }

  void OnArrival(std::size_t service, TimePoint due) {
    const ServiceLoad& load = m_options.services[service];
    auto request = std::make_shared<PendingRequest>();
    request->service = service;
    request->resends_left = load.resends;
    request->event.service = load.service;
    request->event.limit = load.limit;
    request->event.intended_at = due;
    request->event.query = load.query_prefix + "q" +
                           std::to_string(m_options.seed) + "-" +
                           std::to_string(m_arrivals++) + ";";
    ++m_in_flight;
    Dispatch(request);
  }

  void Dispatch(const PendingPtr& request) {
    CachedAddresses& cached = m_address_cache[request->service];
    if (!cached.addresses.empty() && Now() < cached.valid_until) {
      SendTo(request,
             cached.addresses[cached.next++ % cached.addresses.size()]);
      return;
    }
    cached.waiting.push_back(request);
    QueryAddresses(request->service);
  }

  void QueryAddresses(std::size_t service) {
    CachedAddresses& cached = m_address_cache[service];
    if (cached.is_query_pending) {
      return;
    }
    cached.is_query_pending = true;
    const auto& daemons = m_options.daemons;
    const Endpoint& daemon = daemons[m_daemon_random() % daemons.size()];
    const HttpRequest query{
        "GET",
        "/v1/entries?service=" + m_options.services[service].service,
        {},
        ""};
    HttpCall(*m_loop, daemon, query, Now() + kAddressQueryTimeout,
             [this, service](HttpOutcome outcome) {
               OnAddressAnswer(service, std::move(outcome));
             });
  }

  void OnAddressAnswer(std::size_t service, HttpOutcome outcome) {
    CachedAddresses& cached = m_address_cache[service];
    cached.is_query_pending = false;
    if (outcome.response && outcome.response->status == 200) {
      AddressAnswer answer = ParseAddressAnswer(outcome.response->body);
      cached.addresses = std::move(answer.addresses);
      cached.request_id_prefix = std::move(answer.request_id_prefix);
      cached.received_at = Now();
      cached.valid_until = cached.received_at + answer.valid_for;
    }
    if (cached.addresses.empty()) {
      OnQueryFailed(service);
      return;
    }
    for (const PendingPtr& request : std::exchange(cached.waiting, {})) {
      Dispatch(request);
    }
  }

  void OnQueryFailed(std::size_t service) {
    auto& waiting = m_address_cache[service].waiting;
    const auto late = std::stable_partition(
        waiting.begin(), waiting.end(), [this](const PendingPtr& request) {
          return Now() < ResponseDeadline(*request);
        });
    const std::vector<PendingPtr> timed_out(late, waiting.end());
    waiting.erase(late, waiting.end());
    for (const PendingPtr& request : timed_out) {
      request->event.sent_at = Now();
      request->event.end = CallerEnd::kNotSent;
      request->event.verdict = Verdict::kNotRun;
      request->event.reason = "no_address";
      request->resends_left = 0;
      Finish(request);
    }
    if (!waiting.empty()) {
      RunAfter(kAddressQueryRetryDelay,
               [this, service] { QueryAddresses(service); });
    }
  }

  TimePoint ResponseDeadline(const PendingRequest& request) const {
    return request.event.intended_at +
           m_options.services[request.service].deadline + kResponseGrace;
  }

  // Keeps the timer in m_delayed_calls until it fires.
  void RunAfter(Duration delay, std::function<void()> call) {
    const std::uint64_t number = m_next_delayed_call++;
    m_delayed_calls[number] = m_loop->At(Now() + delay, [this, number, call] {
      const auto timer = std::move(m_delayed_calls[number]);
      m_delayed_calls.erase(number);
      call();
    });
  }

  void SendTo(const PendingPtr& request, const Endpoint& daemon) {
    CallerEvent& event = request->event;
    const ServiceLoad& load = m_options.services[request->service];
    const CachedAddresses& cached = m_address_cache[request->service];
    event.daemon = daemon;
    event.sent_at = Now();
    event.address_received_at = cached.received_at;
    event.address_valid_until = cached.valid_until;
    if (!load.is_idempotent && event.sent_id.empty()) {
      event.sent_id = cached.request_id_prefix + event.query;
    }
    auto& idle = m_pool[daemon];
    while (!idle.empty()) {
      std::shared_ptr<HttpConnection> connection = std::move(idle.back());
      idle.pop_back();
      if (connection->IsOpen()) {
        SendOn(request, connection);
        return;
      }
    }
    HttpConnection::Open(
        *m_loop, daemon, ResponseDeadline(*request),
        [this, request](std::unique_ptr<HttpConnection> opened) {
          if (opened) {
            SendOn(request, std::move(opened));
          } else {
            OnResponse(request, nullptr,
                       HttpOutcome{std::nullopt, HttpFailure::kConnect});
          }
        });
  }

  void SendOn(const PendingPtr& request,
              const std::shared_ptr<HttpConnection>& connection) {
    const ServiceLoad& load = m_options.services[request->service];
    const Duration time_left =
        request->event.intended_at + load.deadline - Now();
    HttpRequest message;
    message.method = "POST";
    message.target = "/v1/search";
    message.body = EncodeSearch(request->event, load.caller, time_left);
    connection->Send(std::move(message), ResponseDeadline(*request),
                     [this, request, connection](HttpOutcome outcome) {
                       OnResponse(request, connection, std::move(outcome));
                     });
  }

  void OnResponse(const PendingPtr& request,
                  const std::shared_ptr<HttpConnection>& connection,
                  HttpOutcome outcome) {
    CallerEvent& event = request->event;
    if (outcome.response) {
      ReadSearchReply(outcome.response->status, outcome.response->body, event);
      m_loop->Post([this, daemon = event.daemon, connection] {
        if (connection->IsOpen()) {
          m_pool[daemon].push_back(connection);
        }
      });
    } else {
      event.end = outcome.failure == HttpFailure::kConnect ? CallerEnd::kNotSent
                  : outcome.failure == HttpFailure::kTimeout
                      ? CallerEnd::kTimedOut
                      : CallerEnd::kLost;
      event.verdict = event.end == CallerEnd::kNotSent ? Verdict::kNotRun
                                                       : Verdict::kMayHaveRun;
      // The connection must not be destroyed inside its own callback.
      m_loop->Post([connection] {});
      RemoveAddress(request->service, event.daemon);
    }
    if (event.reason == kHolderGone) {
      m_address_cache[request->service].valid_until = Now();
    }
    Finish(request);
  }

  // An address that failed is not used until the next address answer.
  void RemoveAddress(std::size_t service, const Endpoint& daemon) {
    auto& addresses = m_address_cache[service].addresses;
    addresses.erase(std::remove(addresses.begin(), addresses.end(), daemon),
                    addresses.end());
  }

  void Finish(const PendingPtr& request) {
    CallerEvent& event = request->event;
    event.ended_at = Now();
    Record(event);
    const bool is_final =
        event.end == CallerEnd::kAnswered || event.verdict == Verdict::kRan;
    if (is_final || request->resends_left == 0 || m_is_stopping) {
      ++m_ended;
      --m_in_flight;
      return;
    }
    --request->resends_left;
    event.answer = {};
    event.verdict = Verdict::kMayHaveRun;
    event.reason.clear();
    RunAfter(kResendDelay, [this, request] { Dispatch(request); });
  }

  void Record(const CallerEvent& event) {
    if (event.end == CallerEnd::kAnswered && event.answer.missing.empty()) {
      ++m_full_answers;
    }
    const std::lock_guard lock(m_mutex);
    m_events.push_back(event);
  }

  LoadOptions m_options;
  std::unique_ptr<EventLoop> m_loop;
  // Used for the arrivals only, so that a seed always gives the same arrivals.
  std::mt19937_64 m_arrival_random;
  std::mt19937_64 m_daemon_random;
  std::vector<CachedAddresses> m_address_cache;
  std::vector<std::unique_ptr<Timer>> m_timers;
  std::map<std::uint64_t, std::unique_ptr<Timer>> m_delayed_calls;
  std::uint64_t m_next_delayed_call = 0;
  std::map<Endpoint, std::vector<std::shared_ptr<HttpConnection>>> m_pool;
  std::uint64_t m_arrivals = 0;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<std::size_t> m_in_flight = 0;
  std::atomic<std::size_t> m_ended = 0;
  std::atomic<std::size_t> m_full_answers = 0;
  std::mutex m_mutex;
  std::vector<CallerEvent> m_events;
};

}  // namespace

std::unique_ptr<LoadGenerator> LoadGenerator::Create(LoadOptions options) {
  return std::make_unique<OpenLoopLoad>(std::move(options));
}

}  // namespace bramleyspoke::Harness
