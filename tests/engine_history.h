#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "request/query_engine.h"

namespace bramleyspoke {

/// Events of one attempt, as recorded at its leaf and its connection.
struct AttemptEvents {
  SendAction send;
  QueryNumber query = 0;
  /// Event number, as is `outcome_at`.
  std::uint64_t sent_at = 0;
  /// Whether the leaf ran it, with or without an answer.
  bool has_run = false;
  bool has_outcome = false;
  AttemptResult result = AttemptResult::kNotSent;
  bool was_not_run = false;
  std::uint64_t outcome_at = 0;
  double covered = 0;
};

/// Ordered history of the events of one engine, checked independently of the
/// engine's own state.
struct EngineHistory {
  std::uint64_t event = 0;
  std::map<std::string, std::size_t> shards_of_layout;
  std::map<QueryNumber, SearchRequest> submitted;
  std::map<QueryNumber, bool> idempotent;
  std::map<std::string, AttemptEvents> attempts;
  std::map<QueryNumber, std::vector<SearchOutcome>> outcomes;
  std::map<QueryNumber, std::uint64_t> finished_at;
  /// Violations found while the history was recorded.
  std::vector<std::string> recorded_violations;

  /// Id of the single hit in the attempt's answer.
  static std::string HitIdFor(const Attempt& attempt) {
    return attempt.attempt_id + "/hit";
  }

  /// Returns a description of each violated invariant.
  std::vector<std::string> Check(double extra_load_percent) const;

 private:
  void CheckAnswer(QueryNumber query,
                   const SearchAnswer& answer,
                   std::vector<std::string>& violations) const;
  void CheckRuns(std::vector<std::string>& violations) const;
  void CheckExtraLoad(double percent,
                      std::vector<std::string>& violations) const;
  std::vector<const AttemptEvents*> AttemptsOf(QueryNumber query) const;
};

}  // namespace bramleyspoke
