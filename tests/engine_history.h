#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "request/query_engine.h"

namespace bramleyspoke {

/// An attempt as its leaf and its connection saw it.
struct AttemptEvents {
  SendAction send;
  QueryNumber query = 0;
  std::uint64_t sent_at = 0;
  /// The leaf ran it; whether or not an answer came.
  bool has_run = false;
  bool has_outcome = false;
  AttemptResult result = AttemptResult::kNotSent;
  bool was_not_run = false;
  std::uint64_t outcome_at = 0;
  double covered = 0;
};

/// All that happened to one engine, with the order of events; judged without
/// asking the engine.
struct EngineHistory {
  std::uint64_t event = 0;
  std::map<std::string, std::size_t> shards_of_layout;
  std::map<QueryNumber, SearchRequest> submitted;
  std::map<QueryNumber, bool> idempotent;
  std::map<std::string, AttemptEvents> attempts;
  std::map<QueryNumber, std::vector<SearchOutcome>> outcomes;
  std::map<QueryNumber, std::uint64_t> finished_at;
  /// Faults seen at the time of a send.
  std::vector<std::string> faults;

  /// The id of the one hit that an attempt's answer carries.
  static std::string HitOf(const Attempt& attempt) {
    return attempt.attempt_id + "/hit";
  }

  /// Every promise that the history breaks.
  std::vector<std::string> Check(double extra_load_percent) const;

 private:
  void CheckAnswer(QueryNumber query,
                   const SearchAnswer& answer,
                   std::vector<std::string>& found) const;
  void CheckRuns(std::vector<std::string>& found) const;
  void CheckExtraLoad(double percent, std::vector<std::string>& found) const;
  std::vector<const AttemptEvents*> AttemptsOf(QueryNumber query) const;
};

}  // namespace bramleyspoke
