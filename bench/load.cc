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

constexpr std::chrono::milliseconds kAskAgain{20};
constexpr std::chrono::milliseconds kResendAfter{50};
constexpr std::chrono::milliseconds kAskTimeout{500};
// Time after the deadline that a caller still waits for a response.
constexpr std::chrono::milliseconds kPatience{1500};
constexpr std::chrono::seconds kStopTime{30};
// The daemon that issued the request ids is gone; the caller has to query for
// a new prefix.
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
struct AddressBook {
  std::vector<Endpoint> addresses;
  std::string request_id_prefix;
  TimePoint got_at;
  TimePoint valid_until;
  bool is_asking = false;
  std::vector<PendingPtr> waiting;
  std::size_t next = 0;
};

class OpenLoopLoad final : public LoadGenerator {
 public:
  explicit OpenLoopLoad(LoadOptions options)
      : m_options(std::move(options)),
        m_loop(EventLoop::Create()),
        m_random(m_options.seed),
        m_choice(m_options.seed + 1),
        m_books(m_options.services.size()),
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
    WaitUntil([this] { return m_under_way == 0; }, kStopTime);
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
            ? std::exponential_distribution<double>(1 / mean)(m_random)
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
      Arrive(service, due);
      ScheduleNext(service, due);
    });
  }

  void Arrive(std::size_t service, TimePoint due) {
    const ServiceLoad& load = m_options.services[service];
    auto request = std::make_shared<PendingRequest>();
    request->service = service;
    request->resends_left = load.resends;
    request->event.service = load.service;
    request->event.limit = load.limit;
    request->event.intended_at = due;
    request->event.query = load.mark + "q" + std::to_string(m_options.seed) +
                           "-" + std::to_string(m_arrivals++) + ";";
    ++m_under_way;
    Dispatch(request);
  }

  void Dispatch(const PendingPtr& request) {
    AddressBook& book = m_books[request->service];
    if (!book.addresses.empty() && Now() < book.valid_until) {
      SendTo(request, book.addresses[book.next++ % book.addresses.size()]);
      return;
    }
    book.waiting.push_back(request);
    Ask(request->service);
  }

  void Ask(std::size_t service) {
    AddressBook& book = m_books[service];
    if (book.is_asking) {
      return;
    }
    book.is_asking = true;
    const auto& daemons = m_options.daemons;
    const Endpoint& daemon = daemons[m_choice() % daemons.size()];
    const HttpRequest question{
        "GET",
        "/v1/entries?service=" + m_options.services[service].service,
        {},
        ""};
    HttpCall(*m_loop, daemon, question, Now() + kAskTimeout,
             [this, service](HttpOutcome outcome) {
               OnEntries(service, std::move(outcome));
             });
  }

  void OnEntries(std::size_t service, HttpOutcome outcome) {
    AddressBook& book = m_books[service];
    book.is_asking = false;
    if (outcome.response && outcome.response->status == 200) {
      EntriesAnswer answer = ParseEntries(outcome.response->body);
      book.addresses = std::move(answer.addresses);
      book.request_id_prefix = std::move(answer.request_id_prefix);
      book.got_at = Now();
      book.valid_until = book.got_at + answer.keep;
    }
    if (book.addresses.empty()) {
      AskLater(service);
      return;
    }
    for (const PendingPtr& request : std::exchange(book.waiting, {})) {
      Dispatch(request);
    }
  }

  void AskLater(std::size_t service) {
    auto& waiting = m_books[service].waiting;
    const auto late = std::stable_partition(waiting.begin(), waiting.end(),
                                            [this](const PendingPtr& request) {
                                              return Now() < GiveUpAt(*request);
                                            });
    const std::vector<PendingPtr> given_up(late, waiting.end());
    waiting.erase(late, waiting.end());
    for (const PendingPtr& request : given_up) {
      request->event.sent_at = Now();
      request->event.end = CallerEnd::kNotSent;
      request->event.verdict = Verdict::kNotRun;
      request->event.reason = "no_address";
      request->resends_left = 0;
      Finish(request);
    }
    if (!waiting.empty()) {
      After(kAskAgain, [this, service] { Ask(service); });
    }
  }

  TimePoint GiveUpAt(const PendingRequest& request) const {
    return request.event.intended_at +
           m_options.services[request.service].deadline + kPatience;
  }

  // Keeps the timer in m_calls until it fires.
  void After(Duration delay, std::function<void()> call) {
    const std::uint64_t number = m_next_call++;
    m_calls[number] = m_loop->At(Now() + delay, [this, number, call] {
      const auto timer = std::move(m_calls[number]);
      m_calls.erase(number);
      call();
    });
  }

  void SendTo(const PendingPtr& request, const Endpoint& daemon) {
    CallerEvent& event = request->event;
    const ServiceLoad& load = m_options.services[request->service];
    const AddressBook& book = m_books[request->service];
    event.daemon = daemon;
    event.sent_at = Now();
    event.address_got_at = book.got_at;
    event.address_valid_until = book.valid_until;
    if (!load.is_idempotent && event.sent_id.empty()) {
      event.sent_id = book.request_id_prefix + event.query;
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
        *m_loop, daemon, GiveUpAt(*request),
        [this, request](std::unique_ptr<HttpConnection> opened) {
          if (opened) {
            SendOn(request, std::move(opened));
          } else {
            OnReply(request, nullptr,
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
    connection->Send(std::move(message), GiveUpAt(*request),
                     [this, request, connection](HttpOutcome outcome) {
                       OnReply(request, connection, std::move(outcome));
                     });
  }

  void OnReply(const PendingPtr& request,
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
      Forget(request->service, event.daemon);
    }
    if (event.reason == kHolderGone) {
      m_books[request->service].valid_until = Now();
    }
    Finish(request);
  }

  // An address that failed is not used until the next address answer.
  void Forget(std::size_t service, const Endpoint& daemon) {
    auto& addresses = m_books[service].addresses;
    addresses.erase(std::remove(addresses.begin(), addresses.end(), daemon),
                    addresses.end());
  }

  void Finish(const PendingPtr& request) {
    CallerEvent& event = request->event;
    event.ended_at = Now();
    Record(event);
    const bool is_settled =
        event.end == CallerEnd::kAnswered || event.verdict == Verdict::kRan;
    if (is_settled || request->resends_left == 0 || m_is_stopping) {
      ++m_ended;
      --m_under_way;
      return;
    }
    --request->resends_left;
    event.answer = {};
    event.verdict = Verdict::kMayHaveRun;
    event.reason.clear();
    After(kResendAfter, [this, request] { Dispatch(request); });
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
  std::mt19937_64 m_random;
  std::mt19937_64 m_choice;
  std::vector<AddressBook> m_books;
  std::vector<std::unique_ptr<Timer>> m_timers;
  std::map<std::uint64_t, std::unique_ptr<Timer>> m_calls;
  std::uint64_t m_next_call = 0;
  std::map<Endpoint, std::vector<std::shared_ptr<HttpConnection>>> m_pool;
  std::uint64_t m_arrivals = 0;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<std::size_t> m_under_way = 0;
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
