#include "engine_cost.h"

#include <ctime>

#include <deque>
#include <ostream>
#include <string>

#include <boost/json.hpp>

#include "request/query_engine.h"

namespace bramleyspoke {
namespace {

constexpr std::uint32_t kReplicas = 2;
constexpr std::uint64_t kAttempts = 400'000;
constexpr std::uint64_t kSeed = 1;
constexpr Duration kQueryInterval = std::chrono::microseconds(2500);
constexpr Duration kLeafLatency = std::chrono::microseconds(1300);
constexpr Duration kDeadline = std::chrono::seconds(1);

struct PendingAnswer {
  TimePoint at;
  std::string attempt_id;
};

/// Query load on an engine with simulated leafs, which all answer after
/// kLeafLatency of simulated time.
class EngineLoad {
 public:
  explicit EngineLoad(std::uint32_t shards) {
    auto route = std::make_shared<ServiceRoute>();
    route->spec.name = "search";
    route->spec.slots = 4;
    route->holders.resize(1);
    Layout layout{"a", {}};
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
      layout.shards.push_back({shard, {}});
      for (std::uint32_t replica = 0; replica < kReplicas; ++replica) {
        layout.shards.back().replicas.push_back(
            {LeafOf(shard, replica), {}, {}});
      }
    }
    route->spec.layouts.push_back(layout);
    m_engine = QueryEngine::Create(route, "bench~", kSeed);
    for (const Shard& shard : layout.shards) {
      for (const Replica& replica : shard.replicas) {
        ScheduleAnswers(m_engine->OnLeafStatus(
            replica.leaf, LeafStatus{{{1, "a"}}, false, {}, "1"}, m_now));
      }
    }
  }

  void Query() {
    const TimePoint next = m_now + kQueryInterval;
    SearchRequest request;
    request.request_id = "127.0.1.1:9000~1~1~" + std::to_string(m_queries);
    request.service = "search";
    request.query = "words of query " + std::to_string(m_queries);
    request.deadline = m_now + kDeadline;
    ScheduleAnswers(m_engine->Submit(m_queries++, std::move(request), m_now));
    while (!m_pending_answers.empty() && m_pending_answers.front().at <= next) {
      const PendingAnswer answer = std::move(m_pending_answers.front());
      m_pending_answers.pop_front();
      m_now = answer.at;
      AnswerAttempt(answer.attempt_id);
      RunTimers();
    }
    m_now = next;
    RunTimers();
  }

  const EngineCounters& Counters() const { return m_engine->Counters(); }

 private:
  static Endpoint LeafOf(std::uint32_t shard, std::uint32_t replica) {
    return {"127.0.2." + std::to_string(shard + 1),
            static_cast<std::uint16_t>(7000 + replica)};
  }

  void AnswerAttempt(const std::string& attempt_id) {
    AttemptOutcome outcome;
    outcome.result = AttemptResult::kAnswered;
    outcome.verdict = Verdict::kRan;
    outcome.covered = 1;
    outcome.incarnation = "1";
    outcome.hits = {{"id", 1, "text"}, {"other", 2, "text"}};
    ScheduleAnswers(m_engine->OnAttempt(attempt_id, std::move(outcome), m_now));
  }

  void RunTimers() {
    while (m_engine->NextTimer() && *m_engine->NextTimer() <= m_now) {
      ScheduleAnswers(m_engine->OnTimer(m_now));
    }
  }

  void ScheduleAnswers(EngineActions actions) {
    for (SendAction& send : actions.sends) {
      m_pending_answers.push_back(
          {m_now + kLeafLatency, std::move(send.attempt.attempt_id)});
    }
  }

  std::unique_ptr<QueryEngine> m_engine;
  TimePoint m_now{std::chrono::hours(1)};
  std::deque<PendingAnswer> m_pending_answers;
  QueryNumber m_queries = 0;
};

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

}  // namespace

void BenchEngineCost(std::ostream& out) {
  for (const std::uint32_t shards : {20U, 58U, 200U}) {
    EngineLoad load(shards);
    const double start = ProcessorSeconds();
    while (load.Counters().attempts < kAttempts) {
      load.Query();
    }
    const double seconds = ProcessorSeconds() - start;
    const auto attempts = static_cast<double>(load.Counters().attempts);
    constexpr double kMicroseconds = 1e6;
    const boost::json::object line{
        {"case", "engine_cost"},
        {"seed", kSeed},
        {"shards", shards},
        {"queries", load.Counters().answers},
        {"attempts", load.Counters().attempts},
        {"hedges", load.Counters().hedges},
        {"us_per_attempt", seconds * kMicroseconds / attempts}};
    out << boost::json::serialize(line) << '\n';
  }
}

}  // namespace bramleyspoke
