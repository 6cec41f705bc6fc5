#include <algorithm>
#include <map>
#include <set>

#include <boost/json.hpp>

#include "request/query_engine.h"

namespace bramleyspoke {
namespace {

constexpr Duration kSnapshotWait = std::chrono::milliseconds(200);
constexpr Duration kSnapshotRetryAfter = std::chrono::seconds(1);

struct ShardTask {
  const Shard* shard = nullptr;
  std::set<Endpoint> tried;
  std::string running;
  bool is_done = false;
  double covered = 0;
};

struct Query {
  SearchRequest request;
  std::shared_ptr<const ServiceRoute> route;
  std::optional<IndexVersion> version;
  TimePoint snapshot_by;
  std::vector<ShardTask> tasks;
  std::vector<Hit> hits;
  Verdict verdict = Verdict::kNotRun;
  std::uint32_t attempts = 0;
};

struct Sent {
  QueryNumber query = 0;
  std::size_t task = 0;
  Endpoint leaf;
};

bool IsBefore(const Hit& a, const Hit& b) {
  return a.score != b.score ? a.score > b.score : a.id < b.id;
}

Verdict VerdictOf(const AttemptOutcome& outcome) {
  switch (outcome.result) {
    case AttemptResult::kAnswered:
      return Verdict::kRan;
    case AttemptResult::kRefused:
      return outcome.verdict;
    case AttemptResult::kNotSent:
      return Verdict::kNotRun;
    default:
      return Verdict::kMayHaveRun;
  }
}

class ThinEngine final : public QueryEngine {
 public:
  ThinEngine(std::shared_ptr<const ServiceRoute> route, std::string prefix)
      : m_route(std::move(route)), m_prefix(std::move(prefix)) {}

  EngineActions Submit(QueryNumber number,
                       SearchRequest request,
                       TimePoint now) override {
    EngineActions actions;
    Query& query = m_queries[number];
    query.request = std::move(request);
    query.route = m_route;
    query.snapshot_by = now + kSnapshotWait;
    Start(number, query, now, actions);
    return actions;
  }

  EngineActions OnAttempt(const std::string& attempt_id,
                          AttemptOutcome outcome,
                          TimePoint now) override {
    EngineActions actions;
    const auto sent = m_sent.find(attempt_id);
    if (sent == m_sent.end()) {
      return actions;
    }
    const Sent record = sent->second;
    m_sent.erase(sent);
    if (outcome.draining) {
      m_draining.insert(record.leaf);
    }
    const auto found = m_queries.find(record.query);
    if (found != m_queries.end()) {
      Apply(record, found->second, std::move(outcome), now, actions);
    }
    return actions;
  }

  EngineActions OnLeafStatus(const Endpoint& leaf,
                             std::optional<LeafStatus> status,
                             TimePoint now) override {
    EngineActions actions;
    m_versions.erase(leaf);
    if (status) {
      if (status->draining) {
        m_draining.insert(leaf);
      } else {
        m_draining.erase(leaf);
      }
      m_versions[leaf] = status->versions;
    }
    StartWaiting(now, actions);
    return actions;
  }

  EngineActions OnRoute(std::shared_ptr<const ServiceRoute> route,
                        TimePoint now) override {
    EngineActions actions;
    m_route = std::move(route);
    StartWaiting(now, actions);
    return actions;
  }

  EngineActions OnCallerGone(QueryNumber number, TimePoint) override {
    EngineActions actions;
    const auto found = m_queries.find(number);
    if (found != m_queries.end() && m_route->spec.idempotent) {
      Refuse(number, RefusalReason::kLost, "caller gone", actions);
    }
    return actions;
  }

  EngineActions OnPeerEvidence(const CrashEvidence&, TimePoint) override {
    return {};
  }
  EngineActions OnPeerDrain(const DrainNotice& notice, TimePoint) override {
    m_draining.insert(notice.leaf);
    return {};
  }

  EngineActions OnTimer(TimePoint now) override {
    EngineActions actions;
    std::vector<QueryNumber> due;
    for (const auto& [number, query] : m_queries) {
      if (DueOf(query) <= now) {
        due.push_back(number);
      }
    }
    for (const QueryNumber number : due) {
      Expire(number, actions);
    }
    return actions;
  }

  std::optional<TimePoint> NextTimer() const override {
    std::optional<TimePoint> next;
    for (const auto& [number, query] : m_queries) {
      next = next ? std::min(*next, DueOf(query)) : DueOf(query);
    }
    return next;
  }

  std::vector<CrashEvidence> TakeEvidence() override { return {}; }
  std::vector<DrainNotice> TakeDrains() override { return {}; }
  const EngineCounters& Counters() const override { return m_counters; }
  std::size_t InFlight() const override { return m_queries.size(); }

  std::string DumpJson(TimePoint) const override {
    boost::json::object dump;
    dump["service"] = m_route->spec.name;
    dump["in_flight"] = m_queries.size();
    return boost::json::serialize(dump);
  }

 private:
  static TimePoint DueOf(const Query& query) {
    return query.version ? query.request.deadline
                         : std::min(query.snapshot_by, query.request.deadline);
  }

  bool Has(const Endpoint& leaf, const IndexVersion& version) const {
    const auto found = m_versions.find(leaf);
    return found != m_versions.end() &&
           std::count(found->second.begin(), found->second.end(), version) > 0;
  }

  bool IsUsable(const Endpoint& leaf, const IndexVersion& version) const {
    return !m_route->leaving.contains(leaf) && !m_draining.contains(leaf) &&
           Has(leaf, version);
  }

  std::size_t Covered(const Layout& layout, const IndexVersion& version) const {
    std::size_t covered = 0;
    for (const Shard& shard : layout.shards) {
      covered += std::any_of(shard.replicas.begin(), shard.replicas.end(),
                             [&](const Replica& replica) {
                               return IsUsable(replica.leaf, version);
                             });
    }
    return covered;
  }

  const Layout* FindLayout(const std::string& id) const {
    for (const Layout& layout : m_route->spec.layouts) {
      if (layout.id == id) {
        return &layout;
      }
    }
    return nullptr;
  }

  std::optional<IndexVersion> ChooseVersion() const {
    std::optional<IndexVersion> best;
    double best_share = 0;
    for (const auto& [leaf, versions] : m_versions) {
      for (const IndexVersion& version : versions) {
        const Layout* layout = FindLayout(version.layout);
        if (layout == nullptr || layout->shards.empty()) {
          continue;
        }
        const double share = static_cast<double>(Covered(*layout, version)) /
                             static_cast<double>(layout->shards.size());
        const bool is_better =
            share > best_share ||
            (share == best_share && best && version.number > best->number);
        if (share > 0 && is_better) {
          best = version;
          best_share = share;
        }
      }
    }
    return best;
  }

  void StartWaiting(TimePoint now, EngineActions& actions) {
    std::vector<QueryNumber> waiting;
    for (const auto& [number, query] : m_queries) {
      if (!query.version) {
        waiting.push_back(number);
      }
    }
    for (const QueryNumber number : waiting) {
      Start(number, m_queries.at(number), now, actions);
    }
  }

  void Start(QueryNumber number,
             Query& query,
             TimePoint now,
             EngineActions& actions) {
    query.route = m_route;
    query.version = ChooseVersion();
    if (!query.version) {
      return;
    }
    for (const Shard& shard : FindLayout(query.version->layout)->shards) {
      query.tasks.push_back(ShardTask{&shard, {}, {}, false, 0});
    }
    m_counters.needed += query.tasks.size();
    for (std::size_t i = 0; i < query.tasks.size(); ++i) {
      Send(number, query, i, now, actions);
    }
    FinishIfDone(number, query, actions);
  }

  void Send(QueryNumber number,
            Query& query,
            std::size_t index,
            TimePoint now,
            EngineActions& actions) {
    ShardTask& task = query.tasks[index];
    for (const Replica& replica : task.shard->replicas) {
      const bool is_fresh = !task.tried.contains(replica.leaf);
      if (is_fresh && now < query.request.deadline &&
          IsUsable(replica.leaf, *query.version)) {
        SendTo(replica.leaf, number, query, index, actions);
        return;
      }
    }
    task.is_done = true;
  }

  void SendTo(const Endpoint& leaf,
              QueryNumber number,
              Query& query,
              std::size_t index,
              EngineActions& actions) {
    ShardTask& task = query.tasks[index];
    task.tried.insert(leaf);
    task.running = m_prefix + std::to_string(++m_last_attempt);
    m_sent[task.running] = Sent{number, index, leaf};
    ++query.attempts;
    ++m_counters.attempts;
    Attempt attempt;
    attempt.attempt_id = task.running;
    attempt.request_id = query.request.request_id;
    attempt.service = m_route->spec.name;
    attempt.version = *query.version;
    attempt.shard = task.shard->id;
    attempt.idempotent = m_route->spec.idempotent;
    attempt.query = query.request.query;
    attempt.limit = query.request.limit;
    attempt.deadline = query.request.deadline;
    actions.sends.push_back({leaf, std::move(attempt)});
  }

  void Apply(const Sent& sent,
             Query& query,
             AttemptOutcome outcome,
             TimePoint now,
             EngineActions& actions) {
    ShardTask& task = query.tasks[sent.task];
    const Verdict verdict = VerdictOf(outcome);
    query.verdict = Combine(query.verdict, verdict);
    task.running.clear();
    if (outcome.result == AttemptResult::kAnswered) {
      task.is_done = true;
      task.covered = outcome.covered;
      query.hits.insert(query.hits.end(), outcome.hits.begin(),
                        outcome.hits.end());
    } else if (verdict == Verdict::kNotRun || m_route->spec.idempotent) {
      Send(sent.query, query, sent.task, now, actions);
    } else {
      task.is_done = true;
    }
    FinishIfDone(sent.query, query, actions);
  }

  void FinishIfDone(QueryNumber number, Query& query, EngineActions& actions) {
    const bool is_done =
        std::all_of(query.tasks.begin(), query.tasks.end(),
                    [](const ShardTask& task) { return task.is_done; });
    if (is_done) {
      Finish(number, RefusalReason::kNoReplica, actions);
    }
  }

  void Expire(QueryNumber number, EngineActions& actions) {
    const Query& query = m_queries.at(number);
    if (!query.version) {
      Refuse(number, RefusalReason::kNoSnapshot, "no index version is known",
             actions);
      return;
    }
    Finish(number, RefusalReason::kDeadlinePassed, actions);
  }

  void Finish(QueryNumber number,
              RefusalReason reason,
              EngineActions& actions) {
    Query& query = m_queries.at(number);
    SearchAnswer answer;
    double sum = 0;
    for (const ShardTask& task : query.tasks) {
      sum += task.covered;
      if (task.covered < 1) {
        answer.missing.push_back({task.shard->id, task.covered});
      }
    }
    answer.coverage = sum / static_cast<double>(query.tasks.size());
    if (answer.coverage <= 0) {
      Refuse(number, reason, "no shard answered", actions);
      return;
    }
    answer.version = *query.version;
    answer.hits = std::move(query.hits);
    std::sort(answer.hits.begin(), answer.hits.end(), IsBefore);
    if (answer.hits.size() > query.request.limit) {
      answer.hits.resize(query.request.limit);
    }
    SearchOutcome outcome;
    outcome.answer = std::move(answer);
    outcome.verdict = Verdict::kRan;
    Close(number, std::move(outcome), actions);
  }

  void Refuse(QueryNumber number,
              RefusalReason reason,
              std::string detail,
              EngineActions& actions) {
    Query& query = m_queries.at(number);
    for (const ShardTask& task : query.tasks) {
      if (!task.running.empty()) {
        query.verdict = Verdict::kMayHaveRun;
      }
    }
    SearchOutcome outcome;
    outcome.verdict = query.verdict;
    outcome.refusal =
        Refusal{reason, query.verdict, std::move(detail), std::nullopt};
    if (reason == RefusalReason::kNoSnapshot) {
      outcome.refusal->retry_after = kSnapshotRetryAfter;
    }
    ++m_counters.refusals[static_cast<std::size_t>(reason)];
    Close(number, std::move(outcome), actions);
  }

  void Close(QueryNumber number,
             SearchOutcome outcome,
             EngineActions& actions) {
    Query& query = m_queries.at(number);
    outcome.attempts = query.attempts;
    outcome.needed = static_cast<std::uint32_t>(query.tasks.size());
    for (const ShardTask& task : query.tasks) {
      if (!task.running.empty()) {
        actions.cancels.push_back({m_sent.at(task.running).leaf, task.running});
      }
    }
    actions.finishes.push_back({number, std::move(outcome)});
    m_queries.erase(number);
  }

  std::shared_ptr<const ServiceRoute> m_route;
  std::string m_prefix;
  std::uint64_t m_last_attempt = 0;
  std::map<Endpoint, std::vector<IndexVersion>> m_versions;
  std::set<Endpoint> m_draining;
  std::map<QueryNumber, Query> m_queries;
  std::map<std::string, Sent> m_sent;
  EngineCounters m_counters;
};

}  // namespace

std::unique_ptr<QueryEngine> QueryEngine::Create(
    std::shared_ptr<const ServiceRoute> route,
    std::string attempt_prefix,
    std::uint64_t,
    EngineOptions) {
  return std::make_unique<ThinEngine>(std::move(route),
                                      std::move(attempt_prefix));
}

}  // namespace bramleyspoke
