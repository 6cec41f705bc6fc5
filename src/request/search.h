#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/refusal.h"
#include "base/time.h"
#include "base/verdict.h"
#include "connection/backend_server.h"

namespace bramleyspoke {

/// A validated search request.
struct SearchRequest {
  std::string request_id;
  std::string caller;
  std::string service;
  std::string query;
  std::uint32_t limit = 10;
  /// Time by which the caller must have the answer.
  TimePoint deadline;
};

/// A shard that an answer does not cover, or covers only in part.
struct MissingShard {
  std::uint32_t shard = 0;
  /// Share of the shard that is covered, 0 to 1.
  double covered = 0;
};

/// A merged answer from one snapshot.
struct SearchAnswer {
  IndexVersion version;
  std::vector<Hit> hits;
  /// Share of the snapshot's shards that `hits` come from, 0 to 1.
  double coverage = 0;
  std::vector<MissingShard> missing;
};

/// Outcome of a request: an answer or a refusal, with attempt counts.
struct SearchOutcome {
  std::optional<SearchAnswer> answer;
  std::optional<Refusal> refusal;
  Verdict verdict = Verdict::kNotRun;
  /// Attempts sent to leafs.
  std::uint32_t attempts = 0;
  /// Fewest attempts that the request needs: one per shard.
  std::uint32_t needed = 0;
};

}  // namespace bramleyspoke
