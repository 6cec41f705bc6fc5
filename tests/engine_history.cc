#include "engine_history.h"

#include <cmath>
#include <tuple>

namespace bramleyspoke {
namespace {

// Most tokens that the extra-load budget accumulates.
constexpr double kBurst = 20;
constexpr double kPercent = 100;

}  // namespace

std::vector<std::string> EngineHistory::Check(double extra_load_percent) const {
  std::vector<std::string> found = faults;
  for (const auto& [query, request] : submitted) {
    const auto ends = outcomes.find(query);
    const std::size_t count = ends == outcomes.end() ? 0 : ends->second.size();
    if (count != 1) {
      found.push_back("query finished " + std::to_string(count) + " times");
      continue;
    }
    const SearchOutcome& outcome = ends->second[0];
    if (outcome.answer.has_value() == outcome.refusal.has_value()) {
      found.push_back("outcome has neither answer nor refusal, or both");
    }
    if (outcome.answer) {
      CheckAnswer(query, *outcome.answer, found);
    }
  }
  CheckRuns(found);
  CheckExtraLoad(extra_load_percent, found);
  return found;
}

void EngineHistory::CheckAnswer(QueryNumber query,
                                const SearchAnswer& answer,
                                std::vector<std::string>& found) const {
  std::set<std::string> hits;
  for (const Hit& hit : answer.hits) {
    hits.insert(hit.id);
  }
  std::map<std::uint32_t, double> covered;
  std::size_t own_hits = 0;
  for (const AttemptEvents* attempt : AttemptsOf(query)) {
    const bool is_merged = hits.contains(HitOf(attempt->send.attempt));
    const bool is_same = attempt->send.attempt.version == answer.version;
    own_hits += is_merged ? 1 : 0;
    if (is_merged && !is_same) {
      found.push_back("answer merged from two snapshots");
    }
    if (is_merged &&
        !covered.emplace(attempt->send.attempt.shard, attempt->covered)
             .second) {
      found.push_back("shard merged twice");
    }
  }
  for (const AttemptEvents* attempt : AttemptsOf(query)) {
    const bool came_before = attempt->has_outcome &&
                             attempt->result == AttemptResult::kAnswered &&
                             attempt->outcome_at < finished_at.at(query);
    if (came_before && attempt->send.attempt.version == answer.version &&
        !covered.contains(attempt->send.attempt.shard)) {
      found.push_back("answer of a shard is not merged");
    }
  }
  if (own_hits != hits.size()) {
    found.push_back("answer contains hits of another query");
  }
  double sum = 0;
  for (const auto& [shard, share] : covered) {
    sum += share;
  }
  const std::size_t shards = shards_of_layout.at(answer.version.layout);
  const double expected = sum / static_cast<double>(shards);
  if (std::abs(answer.coverage - expected) > 1e-9) {
    found.push_back("reported coverage is " + std::to_string(answer.coverage) +
                    ", expected " + std::to_string(expected));
  }
}

void EngineHistory::CheckRuns(std::vector<std::string>& found) const {
  std::map<std::pair<QueryNumber, std::uint32_t>, int> runs;
  for (const auto& [id, attempt] : attempts) {
    if (!attempt.has_run) {
      continue;
    }
    const auto& ends = outcomes.at(attempt.query);
    if (!ends.empty() && ends[0].verdict == Verdict::kNotRun) {
      found.push_back("verdict is \"not run\", but a leaf ran the query");
    }
    const bool is_once = !idempotent.at(attempt.query);
    if (++runs[{attempt.query, attempt.send.attempt.shard}] > 1 && is_once) {
      found.push_back("non-idempotent query ran twice on a shard");
    }
  }
}

// An attempt is extra load if, when it was sent, another one for the same shard
// and version was in flight or may have run. Attempts known not to have run are
// not extra load if the query is idempotent.
void EngineHistory::CheckExtraLoad(double percent,
                                   std::vector<std::string>& found) const {
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
        const bool is_settled = other->has_outcome && other->was_not_run &&
                                other->outcome_at <= attempt->sent_at;
        if (other->sent_at < attempt->sent_at && !is_settled) {
          ++extra;
          if (!idempotent.at(attempt->query)) {
            found.push_back("non-idempotent query was sent twice to a shard");
          }
          break;
        }
      }
    }
  }
  const double needed = static_cast<double>(by_task.size());
  if (static_cast<double>(extra) > kBurst + needed * percent / kPercent) {
    found.push_back("extra load exceeds the budget");
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
