#include "observer.h"

#include <atomic>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <exception>
#include <map>
#include <optional>
#include <thread>
#include <utility>

#include "fleet.h"
#include "operator.h"

namespace bramleyspoke::Harness {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kPollInterval{50};
constexpr std::chrono::milliseconds kCallTimeout{200};

std::optional<GenerationEvent> ParseStatus(const std::string& body) {
  try {
    const json::value status = json::parse(body);
    if (!status.at("ready").as_bool()) {
      return std::nullopt;
    }
    GenerationEvent event;
    event.incarnation = json::serialize(status.at("incarnation"));
    event.generation = status.at("generation").to_number<std::uint64_t>();
    return event;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

class PollingObserver final : public Observer {
 public:
  PollingObserver(std::vector<Endpoint> daemons, Endpoint store)
      : m_daemons(std::move(daemons)),
        m_store(std::move(store)),
        m_thread([this] { Run(); }) {}

  ~PollingObserver() override { Join(); }

  void Finish(History& history) override {
    Join();
    PollStore();
    for (const auto& [generation, event] : m_heads) {
      history.store.push_back(event);
    }
    history.generations = std::move(m_generations);
  }

 private:
  void Join() {
    m_is_ended = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  void Run() {
    while (!m_is_ended) {
      for (const Endpoint& daemon : m_daemons) {
        PollDaemon(daemon);
      }
      PollStore();
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  // Records the time before the call, which is no later than the report.
  void PollDaemon(const Endpoint& daemon) {
    const TimePoint at = std::chrono::steady_clock::now();
    const HttpResponse response =
        Call(daemon, "GET", "/v1/status", "", kCallTimeout);
    if (response.status != 200) {
      return;
    }
    auto event = ParseStatus(response.body);
    if (event) {
      event->at = at;
      event->daemon = ToString(daemon);
      m_generations.push_back(std::move(*event));
    }
  }

  void PollStore() {
    for (StoreEvent& event : ReadHeadHistory(m_store)) {
      m_heads[event.generation] = std::move(event);
    }
  }

  std::vector<Endpoint> m_daemons;
  Endpoint m_store;
  std::atomic<bool> m_is_ended = false;
  std::vector<GenerationEvent> m_generations;
  std::map<std::uint64_t, StoreEvent> m_heads;
  std::thread m_thread;
};

}  // namespace

std::unique_ptr<Observer> Observer::Start(std::vector<Endpoint> daemons,
                                          Endpoint store) {
  return std::make_unique<PollingObserver>(std::move(daemons),
                                           std::move(store));
}

}  // namespace bramleyspoke::Harness
