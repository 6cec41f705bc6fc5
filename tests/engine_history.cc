#include "engine_history.h"

#include <cmath>
#include <tuple>

namespace bramleyspoke {
namespace {

// Maximum number of tokens that the extra-load budget accumulates.
constexpr double kMaxSavedTokens = 20;
constexpr double kPercent = 100;

}  // namespace

std::vector<std::string> EngineHistory::Check(double extra_load_percent) const {
  std::vector<std::string> violations = recorded_violations;
  for (const auto& [query, request] : submitted) {
    const auto ends = outcomes.find(query);
    const std::size_t count = ends == outcomes.end() ? 0 : ends->second.size();
    if (count != 1) {
      violations.push_back("query finished " + std::to_string(count) +
                           " times");
      continue;
    }
    const SearchOutcome& outcome = ends->second[0];
    if (outcome.answer.has_value() == outcome.refusal.has_value()) {
      violations.push_back("outcome has neither answer nor refusal, or both");
    }
    if (outcome.answer) {
      CheckAnswer(query, *outcome.answer, violations);
    }
  }
  CheckRuns(violations);
  CheckExtraLoad(extra_load_percent, violations);
  return violations;
}

void EngineHistory::CheckAnswer(QueryNumber query,
                                const SearchAnswer& answer,
                                std::vector<std::string>& violations) const {
  std::set<std::string> hits;
  for (const Hit& hit : answer.hits) {
    hits.insert(hit.id);
  }
  std::map<std::uint32_t, double> covered;
  std::size_t own_hits = 0;
  for (const AttemptEvents* attempt : AttemptsOf(query)) {
    const bool is_merged = hits.contains(HitIdFor(attempt->send.attempt));
    const bool is_same = attempt->send.attempt.version == answer.version;
    own_hits += is_merged ? 1 : 0;
    if (is_merged && !is_same) {
      violations.push_back("answer merged from two snapshots");
    }
    if (is_merged &&
        !covered.emplace(attempt->send.attempt.shard, attempt->covered)
             .second) {
      violations.push_back("shard merged twice");
    }
  }
  for (const AttemptEvents* attempt : AttemptsOf(query)) {
    const bool was_answered_in_time =
        attempt->has_outcome && attempt->result == AttemptResult::kAnswered &&
        attempt->outcome_at < finished_at.at(query);
    if (was_answered_in_time &&
        attempt->send.attempt.version == answer.version &&
        !covered.contains(attempt->send.attempt.shard)) {
      violations.push_back("answer of a shard is not merged");
    }
  }
  if (own_hits != hits.size()) {
    violations.push_back("answer contains hits of another query");
  }
  double sum = 0;
  for (const auto& [shard, share] : covered) {
    sum += share;
  }
  const std::size_t shards = shards_of_layout.at(answer.version.layout);
  const double expected = sum / static_cast<double>(shards);
  if (std::abs(answer.coverage - expected) > 1e-9) {
    violations.push_back("reported coverage is " +
                         std::to_string(answer.coverage) + ", expected " +
                         std::to_string(expected));
  }
}

void EngineHistory::CheckRuns(std::vector<std::string>& violations) const {
  std::map<std::pair<QueryNumber, std::uint32_t>, int> runs;
  for (const auto& [id, attempt] : attempts) {
    if (!attempt.has_run) {
      continue;
    }
    const auto& ends = outcomes.at(attempt.query);
    if (!ends.empty() && ends[0].verdict == Verdict::kNotRun) {
      violations.push_back("verdict is \"not run\", but a leaf ran the query");
    }
    const bool is_non_idempotent = !idempotent.at(attempt.query);
    if (++runs[{attempt.query, attempt.send.attempt.shard}] > 1 &&
        is_non_idempotent) {
      violations.push_back("non-idempotent query ran twice on a shard");
    }
  }
}

// An attempt is extra load if, when it was sent, another one for the same shard
// and version was in flight or may have run. Attempts known not to have run are
// not extra load if the query is idempotent.
void EngineHistory::CheckExtraLoad(double percent,
                                   std::vector<std::string>& violations) const {
  using Key = std::tuple<QueryNumber, std::uint64_t, std::uint32_t>;
  std::map<Key, std::vector<const AttemptEvents*>> by_task;
  for (const auto& [id, attempt] : attempts) {
    const Attempt& sent = attempt.send.attempt;
    by_task[{attempt.query, sent.version.number, sent.shard}].push_back(
        &attempt);
  }
  std::size_t extra = 0;
  for (const auto& [key, list] : by_task) {
    for (const AttemptEvents* attempt : list) {
      for (const AttemptEvents* other : list) {
        if (attempt->was_not_run && idempotent.at(attempt->query)) {
          break;
        }
        const bool is_known_not_run = other->has_outcome &&
                                      other->was_not_run &&
                                      other->outcome_at <= attempt->sent_at;
        if (other->sent_at < attempt->sent_at && !is_known_not_run) {
          ++extra;
          if (!idempotent.at(attempt->query)) {
            violations.push_back(
                "non-idempotent query was sent twice to a shard");
          }
          break;
        }
      }
    }
  }
  const double needed = static_cast<double>(by_task.size());
  if (static_cast<double>(extra) >
      kMaxSavedTokens + needed * percent / kPercent) {
    violations.push_back("extra load exceeds the budget");
  }
}

std::vector<const AttemptEvents*> EngineHistory::AttemptsOf(
    QueryNumber query) const {
  std::vector<const AttemptEvents*> list;
  for (const auto& [id, attempt] : attempts) {
    if (attempt.query == query) {
      list.push_back(&attempt);
    }
  }
  return list;
}

}  // namespace bramleyspoke
